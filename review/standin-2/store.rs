//! A stand-in of the platform's store, as the pages describe it: revisions, conditions, leases, watches.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json,
};

#[derive(Debug, Clone)]
struct Item {
    /// Base64, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    key: String,
    revision: u64,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Debug)]
struct Lease {
    lifetime: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    /// Number of watches that wait.
    waiting: usize,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |known| known.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.changes.push(Change { key: key.to_string(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.changes.push(Change { key: key.to_string(), revision, item: None });
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
            keys.iter().for_each(|key| self.remove(key, revision));
        }
        true
    }
}

impl Store {
    /// Starts an empty store on a loopback address.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let contents = Contents { revision: 10, next_lease: 100, ..Contents::default() };
        let store = Store { address, contents: Arc::new((Mutex::new(contents), Condvar::new())) };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let contents = &mut *expiring.lock();
                let now = Instant::now();
                let due = contents.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
                let due: Vec<u64> = due.map(|(id, _)| *id).collect();
                let ended = due.into_iter().filter(|id| contents.end_lease(*id)).count();
                if ended > 0 {
                    expiring.contents.1.notify_all();
                }
            }
        });
        let serving = store.clone();
        http::serve(listener, move |request, stream| serving.handle(request, stream));
        store
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.0.lock().expect("no panic while the store is locked")
    }

    /// Writes an item as the operator or a server does. `value` is plain text.
    pub fn put(&self, key: &str, value: &str) {
        let contents = &mut *self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        contents.write(key, encode_base64(value.as_bytes()), 0, revision);
        self.contents.1.notify_all();
    }

    /// Removes an item as a server does that has left.
    pub fn delete(&self, key: &str) {
        let contents = &mut *self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        contents.remove(key, revision);
        self.contents.1.notify_all();
    }

    /// Cuts the watches that wait: their channels are closed without an answer.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.contents.1.notify_all();
    }

    /// Number of watches that wait now.
    pub fn waiting_watches(&self) -> usize {
        self.lock().waiting
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let (method, target) = request.method_and_target();
        let path = target.split('?').next().unwrap_or("");
        let (status, body) = if let Some(id) = path.strip_prefix("/kv-keep/") {
            self.renew(id.parse().unwrap_or(0))
        } else if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            let ended = self.lock().end_lease(id.parse().unwrap_or(0));
            self.contents.1.notify_all();
            (if ended { 200 } else { 404 }, "{}".to_string())
        } else {
            match (method, path) {
                ("GET", "/kv-key") => self.read_key(request),
                ("GET", "/kv-range") => self.read_range(request),
                ("GET", "/kv-watch") => match self.watch(request) {
                    Some(answer) => answer,
                    None => return Ok(false),
                },
                ("POST", "/kv-txn") => self.transact(request),
                ("POST", "/kv-lease") => self.grant(request),
                _ => (404, "{}".to_string()),
            }
        };
        http::write_response(
            stream,
            status,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )?;
        Ok(true)
    }

    fn grant(&self, request: &Message) -> (u16, String) {
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let lifetime_ms = body.map_or(0, |body| body.field("ttlMs").number()).max(1_000);
        let lifetime = Duration::from_millis(lifetime_ms);
        let contents = &mut *self.lock();
        contents.next_lease += 1;
        let id = contents.next_lease;
        contents.leases.insert(id, Lease { lifetime, ends_at: Instant::now() + lifetime });
        (200, format!(r#"{{"lease":{id},"ttlMs":{lifetime_ms}}}"#))
    }

    fn renew(&self, id: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.lifetime;
                (200, format!(r#"{{"lease":{id},"ttlMs":{}}}"#, lease.lifetime.as_millis()))
            }
            None => (404, "{}".to_string()),
        }
    }

    fn read_key(&self, request: &Message) -> (u16, String) {
        let key = request.parameter("key").unwrap_or_default();
        match self.lock().items.get(&key) {
            Some(item) => (200, item_json(&key, item)),
            None => (404, "{}".to_string()),
        }
    }

    fn read_range(&self, request: &Message) -> (u16, String) {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after");
        let contents = self.lock();
        let items = contents.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
        });
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let (items, revision) = (items.join(","), contents.revision);
        (200, format!(r#"{{"items":[{items}],"hasMore":false,"asOf":{revision}}}"#))
    }

    /// Answers a watch; `None` if it is cut.
    fn watch(&self, request: &Message) -> Option<(u16, String)> {
        let number = |name: &str| -> u64 {
            request.parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let prefix = request.parameter("prefix").unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let is_news = |change: &&Change| change.revision > after && change.key.starts_with(&prefix);
        let mut contents = self.lock();
        let cuts = contents.cuts;
        let waits = |contents: &mut Contents| {
            !contents.changes.iter().any(|change| is_news(&change)) && contents.cuts == cuts
        };
        contents.waiting += 1;
        let waited = self.contents.1.wait_timeout_while(contents, wait, waits);
        let mut contents = waited.expect("no panic while the store is locked").0;
        contents.waiting -= 1;
        if contents.cuts != cuts {
            return None;
        }
        let events = contents.changes.iter().filter(is_news).map(|change| match &change.item {
            Some(item) => item_json(&change.key, item),
            None => {
                let (key, revision) = (&change.key, change.revision);
                format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#)
            }
        });
        let events: Vec<String> = events.collect();
        let revision = contents.revision;
        Some((200, format!(r#"{{"events":[{}],"asOf":{revision}}}"#, events.join(","))))
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_string());
        };
        let contents = &mut *self.lock();
        let holds = body.field("expected").items().iter().all(|row| {
            let known = contents.items.get(row.field("key").text());
            known.map_or(0, |item| item.revision) == row.field("revision").number()
        });
        if !holds {
            return (412, r#"{"items":[]}"#.to_string());
        }
        let writes = body.field("writes").items();
        let lease_of = |write: &json::Value| write.field("lease").number();
        let is_live = |lease: u64| lease == 0 || contents.leases.contains_key(&lease);
        if !writes.iter().all(|write| is_live(lease_of(write))) {
            return (404, "{}".to_string());
        }
        contents.revision += 1;
        let revision = contents.revision;
        for write in writes {
            let (key, value) = (write.field("key").text(), write.field("value").text());
            contents.write(key, value.to_string(), lease_of(write), revision);
        }
        for key in body.field("remove").items() {
            contents.remove(key.text(), revision);
        }
        self.contents.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
