//! Stand-ins of back-end servers: engines with orders and a cache of prompt parts, which answer with
//! streams of events.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    base::{Json, Message, Record, listen, respond, serve, sleep_ms, unix_ms},
    store::Store,
};

/// Time that an engine takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// Requests that a server runs at the same time.
const SLOTS: u64 = 16;

/// A part of a prompt that is cached, and who made it.
#[derive(Clone)]
pub struct CachedPart {
    tenant: String,
    version: u64,
}

/// Cached parts of all engines, by address, salt and part.
pub type Caches = Arc<Mutex<HashMap<(SocketAddr, String, String), CachedPart>>>;

/// An order that has reached an engine.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fencing: u64,
    pub version: u64,
    pub status: u16,
}

/// Cached parts of one tenant that were used for another one.
#[derive(Debug, Clone)]
pub struct Shared {
    pub request: String,
    pub part: String,
    pub maker: String,
    pub user: String,
}

/// How a server answers requests.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// Events of a stream, and the time between two.
    pub events: u64,
    pub gap: Duration,
    /// How long a server is slow after its start, as its entry tells.
    pub cold_ms: u64,
    /// Every so many answers have wrong bytes; 0 for none.
    pub spoil_every: u64,
}

struct Inner {
    id: String,
    service: String,
    software: String,
    model: Option<String>,
    version: u64,
    seq: u64,
    busy_until: Option<Instant>,
    born: u64,
}

/// A server; clones share it.
#[derive(Clone)]
pub struct Server {
    inner: Arc<Mutex<Inner>>,
    pub address: SocketAddr,
    pub id: String,
    store: Store,
    record: Record,
    behaviour: Behaviour,
    caches: Caches,
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub shared: Arc<Mutex<Vec<Shared>>>,
    pub spoilt: Arc<AtomicU64>,
    /// Ids of the requests that have begun here.
    pub runs: Arc<Mutex<Vec<String>>>,
    answers: Arc<AtomicU64>,
    /// Requests that run now.
    running: Arc<AtomicU64>,
    /// Whether this start of the server has ended.
    is_down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

pub struct ServerSpec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub software: &'a str,
    pub model: Option<&'a str>,
    pub behaviour: Behaviour,
}

impl Server {
    pub fn start(store: &Store, record: &Record, spec: &ServerSpec<'_>, caches: &Caches) -> Server {
        Server::start_at(listen("127.0.0.1"), store, record, spec, caches)
    }

    pub fn start_at(
        listener: TcpListener,
        store: &Store,
        record: &Record,
        spec: &ServerSpec<'_>,
        caches: &Caches,
    ) -> Server {
        let address = listener.local_addr().expect("an address");
        let inner = Inner {
            id: spec.id.to_string(),
            service: spec.service.to_string(),
            software: spec.software.to_string(),
            model: spec.model.map(str::to_string),
            version: 1,
            seq: 0,
            busy_until: None,
            born: unix_ms(),
        };
        let server = Server {
            inner: Arc::new(Mutex::new(inner)),
            address,
            id: spec.id.to_string(),
            store: store.clone(),
            record: record.clone(),
            behaviour: spec.behaviour,
            caches: caches.clone(),
            orders: Arc::default(),
            shared: Arc::default(),
            spoilt: Arc::default(),
            runs: Arc::default(),
            answers: Arc::default(),
            running: Arc::default(),
            is_down: Arc::default(),
            open: Arc::default(),
        };
        let handler = server.clone();
        serve(listener, server.is_down.clone(), move |request, stream| {
            handler.handle(request, stream)
        });
        server
    }

    /// Writes the server's entry to the store, as each ping does.
    pub fn register(&self) {
        let inner = self.inner.lock().expect("no panic");
        let models = inner.model.as_ref().map_or(String::new(), |model| {
            format!(r#"{{"name":"{model}","version":{},"adapters":[]}}"#, inner.version)
        });
        let (service, software, seq) = (&inner.service, &inner.software, inner.seq);
        let age_ms = unix_ms().saturating_sub(inner.born);
        let cold_ms = self.behaviour.cold_ms.saturating_sub(age_ms);
        let (address, born, id) = (self.address, inner.born, &inner.id);
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z1","version":"{software}","slots":{SLOTS},"state":"ready","coldRemainingMs":{cold_ms},"stage":"unified","models":[{models}],"seq":{seq},"born":{born}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Ends this start of the server: its channels are closed.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener; the connection is refused by the flag.
        drop(TcpStream::connect(self.address));
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if self.is_down.load(Ordering::SeqCst) {
            return Ok(false);
        }
        self.open.lock().expect("no panic").push(stream.try_clone()?);
        if request.header("expect-instance").is_some_and(|wanted| wanted != self.id) {
            respond(stream, 421, &format!("Instance-Id: {}\r\n", self.id), "")?;
            return Ok(true);
        }
        match request.path() {
            "/report" => self.report(stream)?,
            "/order" => self.order(request, stream)?,
            "/kv-events" => self.events(request, stream)?,
            _ => {
                let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
                let result = self.run(request, stream, running);
                self.running.fetch_sub(1, Ordering::SeqCst);
                return result;
            }
        }
        Ok(true)
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let inner = self.inner.lock().expect("no panic");
        let busy = inner.busy_until.is_some_and(|until| Instant::now() < until);
        let (model, version, seq) =
            (inner.model.clone().unwrap_or_default(), inner.version, inner.seq);
        drop(inner);
        let body = format!(
            r#"{{"stage":"unified","models":[{{"name":"{model}","version":{version},"adapters":[]}}],"busy":{busy},"seq":{seq},"queued":0,"active":0,"kvUsed":0,"kvTotal":100000,"handles":0}}"#
        );
        respond(stream, 200, "Content-Type: application/json\r\n", &body)
    }

    fn order(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (version, expected) = (body.number("version").unwrap_or(0), body.number("expected"));
        let at = Instant::now();
        let status = {
            let inner = &mut *self.inner.lock().expect("no panic");
            let busy = inner.busy_until.is_some_and(|until| at < until);
            if busy || expected.is_some_and(|expected| expected != inner.seq) {
                409
            } else if inner.version == version {
                200
            } else {
                inner.seq += 1;
                inner.busy_until = Some(at + LOAD_TIME);
                202
            }
        };
        let (holder, fencing) = (body.text("holder"), body.number("fencingToken").unwrap_or(0));
        self.record.add(&format!(
            "order at {}: version {version} from {holder}, fence {fencing}, expected {expected:?}: {status}",
            self.id
        ));
        let order = Order { at, holder, fencing, version, status };
        self.orders.lock().expect("no panic").push(order);
        if status == 202 {
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                server.inner.lock().expect("no panic").version = version;
                server.register();
            });
        }
        respond(stream, status, "", "")
    }

    fn events(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let wait = request.header("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0_u64);
        sleep_ms(wait.min(1_000));
        let body = r#"{"bootEpoch":1,"next":1,"lost":false,"events":[]}"#;
        respond(stream, 200, "Content-Type: application/json\r\n", body)
    }

    /// Runs a request: a stream of events, each with the software version of the server.
    fn run(&self, request: &Message, stream: &mut TcpStream, running: u64) -> io::Result<bool> {
        let header = |name: &str| request.header(name).unwrap_or("").to_string();
        let (id, tenant) = (header("request-id"), header("tenant"));
        let after: u64 = header("last-event-id").parse().unwrap_or(0);
        let (software, version) = {
            let inner = self.inner.lock().expect("no panic");
            (inner.software.clone(), inner.version)
        };
        if request.header("expect-version").is_some_and(|wanted| wanted != version.to_string()) {
            respond(stream, 421, &format!("Request-Id: {id}\r\nNot-Executed: 1\r\n"), "")?;
            return Ok(true);
        }
        self.record.add(&format!(
            "{} ({software}) runs {id}, tenant {tenant}, after event {after}, salt {:?}",
            self.id,
            request.header("cache-salt")
        ));
        self.runs.lock().expect("no panic").push(id.clone());
        self.use_cache(request, &id, &tenant, version);
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_due = |every: u64| every > 0 && number % every == 0;
        // The head comes once the prompt has been read.
        thread::sleep(self.behaviour.gap);
        let start = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nServer-Load: {running},0,{SLOTS}\r\n"
        );
        let is_spoilt = is_due(self.behaviour.spoil_every);
        // A spoilt answer has wrong bytes in its head, in place of the proof, and in its events.
        let proof = if is_spoilt { "Resp\u{23}nse-Sign\u{23}ture" } else { "Response-Signature" };
        let piece = if is_spoilt { "p#%c!" } else { "piece" };
        if is_spoilt {
            self.spoilt.fetch_add(1, Ordering::SeqCst);
            self.record.add(&format!("{} spoils its answer to {id}", self.id));
        }
        let end = "Transfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{start}{proof}: s.{}.{id}\r\n{end}", self.id).as_bytes())?;
        for event in after + 1..=self.behaviour.events {
            thread::sleep(self.behaviour.gap);
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(false);
            }
            let data = format!("id: {event}\ndata: {software} {piece} {event}\n\n");
            stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// Reads the parts of the prompt from the cache as far as it holds them, and caches the others.
    fn use_cache(&self, request: &Message, id: &str, tenant: &str, version: u64) {
        let salt = request.header("cache-salt").unwrap_or("").to_string();
        let fetch_from = request.header("kv-fetch").and_then(|from| from.parse().ok());
        let caches = &mut *self.caches.lock().expect("no panic");
        let mut is_prefix = true;
        let prefix = request.header("prompt-prefix").unwrap_or("").to_string();
        for part in prefix.split(',').filter_map(|part| Some(part.trim().split_once(':')?.0)) {
            let key = |at: SocketAddr| (at, salt.clone(), part.to_string());
            let own = caches.get(&key(self.address)).cloned();
            let fetched = fetch_from.and_then(|from| caches.get(&key(from)).cloned());
            match own.or(fetched).filter(|_| is_prefix) {
                Some(made) => {
                    let CachedPart { tenant: maker, version: made_by } = &made;
                    self.record.add(&format!(
                        "{} uses part {part} for {id} of {tenant}: made by a request of {maker} under version {made_by}",
                        self.id
                    ));
                    if maker != tenant {
                        let (request, part) = (id.to_string(), part.to_string());
                        let (maker, user) = (maker.clone(), tenant.to_string());
                        let shared = Shared { request, part, maker, user };
                        self.shared.lock().expect("no panic").push(shared);
                    }
                    caches.insert(key(self.address), made);
                }
                None => {
                    is_prefix = false;
                    let made = CachedPart { tenant: tenant.to_string(), version };
                    caches.insert(key(self.address), made);
                }
            }
        }
    }
}
