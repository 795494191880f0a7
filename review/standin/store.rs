//! Stand-in of the platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::base::{Json, Message, Record, base64, listen, respond, serve, sleep_ms, unbase64};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes as the events of a watch, with their revisions.
    history: Vec<(u64, String)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    /// Whether all calls are turned away with 503.
    is_busy: bool,
    /// The write of a key that gets no answer and is carried out later.
    late: Option<LateWrite>,
    /// Number of next renewals of the holder's lease that are carried out and get no answer.
    lost_renewals: u32,
    /// Lease whose renewals are answered all the same.
    answered_lease: u64,
    /// Number of late writes that were carried out.
    late_done: u32,
    /// Number of calls other than reads, and of those whose answers were lost.
    calls: u32,
    lost: u32,
    /// Number of renewals of the holder's lease that were answered.
    renewals: u32,
}

struct LateWrite {
    key: String,
    /// Number of writes of the key that come before it.
    skip: u32,
    delay: Duration,
}

/// Key that the holder of the rollout lease writes.
const HOLDER_KEY: &str = "carobvane/holder";

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl State {
    fn event(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => item_json(key, item),
            None => format!(r#"{{"key":"{key}","revision":{},"tombstone":true}}"#, self.revision),
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_string(), item);
        let event = self.event(key);
        self.history.push((self.revision, event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = self.event(key);
            self.history.push((self.revision, event));
        }
    }

    /// Ends a lease and removes its keys.
    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        true
    }

    /// Carries out a transaction; returns the status and body of the answer.
    fn transact(&mut self, call: &Json) -> (u16, String) {
        for row in call.list("expected") {
            let known = self.items.get(&row.text("key")).map_or(0, |item| item.revision);
            if row.number("revision") != Some(known) {
                return (412, r#"{"items":[]}"#.to_string());
            }
        }
        let writes = call.list("writes");
        let lease = |row: &Json| row.number("lease").unwrap_or(0);
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, "{}".to_string());
        }
        self.revision += 1;
        for row in &writes {
            self.put(&row.text("key"), row.text("value"), lease(row));
        }
        for key in call.list("remove") {
            if let Json::Text(key) = key {
                self.remove(&key);
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = listen("127.0.0.1");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 1, next_lease: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { shared, address, record: record.clone() };
        let (handler, leases) = (store.clone(), store.clone());
        serve(listener, Arc::default(), move |call, stream| handler.handle(call, stream));
        thread::spawn(move || {
            loop {
                sleep_ms(10);
                leases.expire();
            }
        });
        store
    }

    fn expire(&self) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.record.add(&format!("store: {key} written, revision {}", state.revision));
        self.shared.1.notify_all();
    }

    /// Removes a key as a server that leaves does.
    pub fn remove(&self, key: &str) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        state.revision += 1;
        state.remove(key);
        self.record.add(&format!("store: {key} removed, revision {}", state.revision));
        self.shared.1.notify_all();
    }

    /// Value of a key, as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().expect("no panic");
        let item = state.items.get(key)?;
        String::from_utf8(unbase64(&item.value)).ok()
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.0.lock().expect("no panic");
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Turns all calls away with 503, or serves them again.
    pub fn set_busy(&self, is_busy: bool) {
        self.shared.0.lock().expect("no panic").is_busy = is_busy;
        self.record.add(&format!("store: busy = {is_busy}"));
        self.shared.1.notify_all();
    }

    /// The write of a key after `skip` further ones gets no answer and is carried out `delay` later.
    pub fn delay_write(&self, key: &str, skip: u32, delay: Duration) {
        let late = LateWrite { key: key.to_string(), skip, delay };
        self.shared.0.lock().expect("no panic").late = Some(late);
    }

    /// The next renewals of the holder's lease get no answer; those of the next holder's lease if
    /// `is_next`.
    pub fn lose_renewals(&self, count: u32, is_next: bool) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        let current = state.items.get(HOLDER_KEY).map_or(0, |item| item.lease);
        state.lost_renewals = count;
        state.answered_lease = if is_next { current } else { 0 };
    }

    /// Number of late writes that were carried out.
    pub fn late_done(&self) -> u32 {
        self.shared.0.lock().expect("no panic").late_done
    }

    /// Number of renewals of the holder's lease that were answered.
    pub fn renewals(&self) -> u32 {
        self.shared.0.lock().expect("no panic").renewals
    }

    /// Number of calls other than reads, and of those whose answers were lost, since the last call.
    pub fn take_counts(&self) -> (u32, u32) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        (std::mem::take(&mut state.calls), std::mem::take(&mut state.lost))
    }

    /// Waits until the caller has given up, as no answer comes.
    fn leave_unanswered(&self, stream: &mut TcpStream) -> io::Result<bool> {
        self.shared.0.lock().expect("no panic").lost += 1;
        let mut rest = [0; 64];
        while stream.read(&mut rest)? > 0 {}
        Ok(false)
    }

    fn handle(&self, call: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if self.shared.0.lock().expect("no panic").is_busy {
            self.answer(stream, 503, "{}")?;
            return Ok(true);
        }
        let path = call.path();
        if let Some(id) = path.strip_prefix("/kv-keep/") {
            let (status, body, is_lost) = self.renew(id.parse().unwrap_or(0));
            if is_lost {
                self.record.add(&format!("store: lease {id} renewed, the answer is lost"));
                return self.leave_unanswered(stream);
            }
            self.answer(stream, status, &body)?;
        } else if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            let ended = {
                let state = &mut *self.shared.0.lock().expect("no panic");
                state.end_lease(id.parse().unwrap_or(0))
            };
            self.shared.1.notify_all();
            self.answer(stream, if ended { 200 } else { 404 }, "{}")?;
        } else {
            match path {
                "/kv-range" => {
                    let body = self.range(call);
                    self.answer(stream, 200, &body)?;
                }
                "/kv-watch" => {
                    let (status, body) = self.watch(call);
                    self.answer(stream, status, &body)?;
                }
                "/kv-lease" => {
                    let body = self.grant(call);
                    self.answer(stream, 200, &body)?;
                }
                "/kv-txn" => return self.transact(call, stream),
                _ => self.answer(stream, 404, "{}")?,
            }
        }
        Ok(true)
    }

    fn answer(&self, stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
        respond(stream, status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body)
    }

    fn transact(&self, call: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let Some(parsed) = Json::parse(&text) else {
            self.answer(stream, 400, "{}")?;
            return Ok(true);
        };
        let late = {
            let state = &mut *self.shared.0.lock().expect("no panic");
            state.calls += 1;
            let writes = parsed.list("writes");
            state.late.take_if(|late| {
                let is_meant = writes.iter().any(|row| row.text("key") == late.key);
                let is_due = is_meant && late.skip == 0;
                late.skip = late.skip.saturating_sub(u32::from(is_meant));
                is_due
            })
        };
        for row in parsed.list("writes") {
            let (key, value) = (row.text("key"), unbase64(&row.text("value")));
            let value = String::from_utf8_lossy(&value).into_owned();
            let note = if late.is_some() { " (no answer, carried out later)" } else { "" };
            self.record.add(&format!("store: call to write {key} = {value}{note}"));
        }
        if let Some(LateWrite { key, delay, .. }) = late {
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let state = &mut *store.shared.0.lock().expect("no panic");
                let (status, _) = state.transact(&parsed);
                state.late_done += 1;
                store
                    .record
                    .add(&format!("store: late write of {key} carried out, status {status}"));
                store.shared.1.notify_all();
            });
            // A channel on which a response is lost returns nothing further.
            return self.leave_unanswered(stream);
        }
        let (status, body) = self.shared.0.lock().expect("no panic").transact(&parsed);
        self.shared.1.notify_all();
        self.answer(stream, status, &body)?;
        Ok(true)
    }

    fn range(&self, call: &Message) -> String {
        let state = self.shared.0.lock().expect("no panic");
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(r#"{{"items":[{}],"hasMore":false,"asOf":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let number =
            |name: &str| call.query(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let prefix = call.query("prefix").unwrap_or_default();
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("no panic");
        if after > state.revision {
            return (410, "{}".to_string());
        }
        loop {
            if state.is_busy {
                return (503, "{}".to_string());
            }
            let has_prefix = format!(r#""key":"{prefix}"#);
            let events = state.history.iter().filter(|(revision, _)| *revision > after);
            let events: Vec<&str> = events
                .map(|(_, event)| event.as_str())
                .filter(|event| event.contains(&has_prefix))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!(r#"{{"events":[{}],"asOf":{}}}"#, events.join(","), state.revision);
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn grant(&self, call: &Message) -> String {
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        let ttl_ms = body.and_then(|body| body.number("ttlMs")).unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let state = &mut *self.shared.0.lock().expect("no panic");
        state.calls += 1;
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        format!(r#"{{"lease":{id},"ttlMs":{ttl_ms}}}"#)
    }

    /// Renews a lease; returns the status and body of the answer, and whether the answer is lost.
    fn renew(&self, id: u64) -> (u16, String, bool) {
        let state = &mut *self.shared.0.lock().expect("no panic");
        state.calls += 1;
        let is_holder = state.items.get(HOLDER_KEY).is_some_and(|item| item.lease == id);
        let is_lost = is_holder && state.lost_renewals > 0 && id != state.answered_lease;
        if is_lost {
            state.lost_renewals -= 1;
        } else if is_holder {
            state.renewals += 1;
        }
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!(r#"{{"ttlMs":{}}}"#, lease.ttl.as_millis()), is_lost)
            }
            None => (404, "{}".to_string(), is_lost),
        }
    }
}
