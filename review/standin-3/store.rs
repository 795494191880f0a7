//! The platform's store, in memory.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Channel, Message},
    json::{Json, base64},
};

/// How long the store takes to answer a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Core {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, as JSON, with their revisions.
    changes: Vec<(u64, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Whether it answers nobody. Leases pause meanwhile.
    is_silent: bool,
    /// How often it came back from an older copy.
    era: u64,
    copy: Option<Copy>,
}

/// A copy from which the store can be restored.
struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The leases, with what was left of them.
    leases: HashMap<u64, (Duration, Duration)>,
    next_lease: u64,
}

impl Core {
    fn put(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.changes.push((revision, show(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}");
            self.changes.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            keys.iter().for_each(|key| self.remove(revision, key));
        }
        true
    }
}

fn show(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

#[derive(Clone)]
pub struct Store {
    core: Arc<(Mutex<Core>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let core = Core { revision: 100, next_lease: 7000, ..Core::default() };
        let store = Store { core: Arc::new((Mutex::new(core), Condvar::new())), address };
        let serving = store.clone();
        http::serve(listener, move |channel, call, _| serving.handle(channel, call));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut core = expiring.core.0.lock().unwrap();
                let now = Instant::now();
                if core.is_silent {
                    continue;
                }
                let ended = core.leases.iter().filter(|(_, (end, _))| *end <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in &ended {
                    core.end_lease(*lease);
                }
                if !ended.is_empty() {
                    expiring.core.1.notify_all();
                }
            }
        });
        store
    }

    /// Goes down without a word, or comes back. A call that it gets while it is down has no effect.
    pub fn set_silent(&self, is_silent: bool) {
        self.core.0.lock().unwrap().is_silent = is_silent;
        self.core.1.notify_all();
    }

    /// Makes a copy of all that the store holds.
    pub fn make_copy(&self) {
        let mut core = self.core.0.lock().unwrap();
        let now = Instant::now();
        let leases = core.leases.iter();
        let leases = leases
            .map(|(id, (end, length))| (*id, (end.saturating_duration_since(now), *length)))
            .collect();
        let Core { revision, next_lease, .. } = *core;
        core.copy = Some(Copy { revision, items: core.items.clone(), leases, next_lease });
    }

    /// Comes back from the copy, in a new era.
    pub fn restore(&self) {
        let mut core = self.core.0.lock().unwrap();
        let Some(copy) = core.copy.take() else { return };
        let now = Instant::now();
        core.era += 1;
        core.changes.retain(|(revision, _)| *revision <= copy.revision);
        core.revision = copy.revision;
        core.items = copy.items;
        core.leases = copy
            .leases
            .into_iter()
            .map(|(id, (left, length))| (id, (now + left, length)))
            .collect();
        core.next_lease = copy.next_lease;
        core.is_silent = false;
        self.core.1.notify_all();
    }

    /// Writes a key as the operator or a server does. Has no effect while the store is down.
    pub fn write(&self, key: &str, value: &str) {
        let mut core = self.core.0.lock().unwrap();
        if core.is_silent {
            return;
        }
        core.revision += 1;
        let revision = core.revision;
        core.put(revision, key, base64(value.as_bytes()), 0);
        self.core.1.notify_all();
    }

    fn handle(&self, channel: &mut Channel, call: Message) -> io::Result<()> {
        if self.core.0.lock().unwrap().is_silent {
            let core = self.core.0.lock().unwrap();
            drop(self.core.1.wait_while(core, |core| core.is_silent).unwrap());
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let (status, body) = self.respond(&call);
        if self.core.0.lock().unwrap().is_silent {
            // A watch that was waiting when the store went down.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let era = self.core.0.lock().unwrap().era.to_string();
        thread::sleep(ANSWER_TIME);
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        channel.answer(status, &headers, body.as_bytes())
    }

    fn respond(&self, call: &Message) -> (&'static str, String) {
        let (lock, changed) = &*self.core;
        let mut core = lock.lock().unwrap();
        let path = call.path().to_string();
        let number =
            |name: &str| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let last = path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        match (call.method(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = call.query("key").unwrap_or_default();
                match core.items.get(&key) {
                    Some(item) => ("200 OK", show(&key, item)),
                    None => ("404 Not Found", "{}".to_string()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = call.query("prefix").unwrap_or_default();
                let after = call.query("after").unwrap_or_default();
                let listed = core.items.iter();
                let listed = listed.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let listed: Vec<String> = listed.map(|(key, item)| show(key, item)).collect();
                let (listed, revision) = (listed.join(","), core.revision);
                (
                    "200 OK",
                    format!("{{\"items\":[{listed}],\"hasMore\":false,\"asOf\":{revision}}}"),
                )
            }
            ("GET", "/kv-watch") => {
                let after = number("after");
                if after > core.revision {
                    return ("410 Gone", "{}".to_string());
                }
                let era = core.era;
                let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                while core.revision <= after && !core.is_silent && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    core = changed.wait_timeout(core, left).unwrap().0;
                }
                if core.era != era {
                    return ("410 Gone", "{}".to_string());
                }
                let events = core.changes.iter().filter(|(revision, _)| *revision > after);
                let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
                let (events, revision) = (events.join(","), core.revision);
                ("200 OK", format!("{{\"events\":[{events}],\"asOf\":{revision}}}"))
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&call.body).unwrap_or(Json::Null);
                let ttl = body.number("ttlMs").max(1_000);
                core.next_lease += 1;
                let lease = core.next_lease;
                let length = Duration::from_millis(ttl);
                core.leases.insert(lease, (Instant::now() + length, length));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => match core.leases.get_mut(&last) {
                Some((end, length)) => {
                    *end = Instant::now() + *length;
                    ("200 OK", format!("{{\"ttlMs\":{}}}", length.as_millis()))
                }
                None => ("404 Not Found", "{}".to_string()),
            },
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let is_there = core.end_lease(last);
                changed.notify_all();
                (if is_there { "200 OK" } else { "404 Not Found" }, "{}".to_string())
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&call.body).unwrap_or(Json::Null);
                let held = |key: &str| core.items.get(key).map_or(0, |item| item.revision);
                let mut rows = body.list("expected").iter();
                if rows.any(|row| held(row.text("key")) != row.number("revision")) {
                    return ("412 Precondition Failed", "{\"items\":[]}".to_string());
                }
                let lease = |row: &Json| row.number("lease");
                let mut rows = body.list("writes").iter();
                if rows.any(|row| lease(row) != 0 && !core.leases.contains_key(&lease(row))) {
                    return ("404 Not Found", "{}".to_string());
                }
                core.revision += 1;
                let revision = core.revision;
                for row in body.list("writes") {
                    core.put(revision, row.text("key"), row.text("value").to_string(), lease(row));
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        core.remove(revision, key);
                    }
                }
                changed.notify_all();
                ("200 OK", format!("{{\"revision\":{revision}}}"))
            }
            _ => ("400 Bad Request", "{}".to_string()),
        }
    }
}
