//! Model servers that send streams, and that can end and start again under their ids.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Channel, Message, Served},
    record::Record,
    store::Store,
};

/// Part of a prompt that crashes each server which begins to answer it.
pub const DEADLY_PART: &str = "dead0001";
/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What all servers of a test have in common.
#[derive(Clone)]
pub struct ServerPlan {
    pub service: &'static str,
    pub model: &'static str,
    /// Number of events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    pub store: Store,
    pub record: Record,
    pub runs: Runs,
}

/// A request that a server ran, and the requests that made the KV cache which it used.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub used: Vec<String>,
}

/// What the servers of a test have run together.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One start of a server.
struct Boot {
    software: String,
    born: u64,
    served: Arc<Served>,
}

/// The request that made each part of KV cache, by the text under which it is kept and by the part.
type KvCache = Mutex<HashMap<(String, String), String>>;

pub struct ModelServer {
    pub id: String,
    pub address: SocketAddr,
    plan: ServerPlan,
    boot: Mutex<Option<Boot>>,
    running: AtomicUsize,
    /// Of a hundred answers, how many are lost.
    lost_percent: AtomicU64,
    /// Number of streams that it began.
    begun: AtomicU64,
    /// Whether its streams have neither a length nor chunks.
    is_unframed: AtomicBool,
}

impl ModelServer {
    /// Starts a server that writes its entry until the process ends.
    pub fn start(ip: &str, id: &str, software: &str, plan: &ServerPlan) -> Arc<ModelServer> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Arc::new(ModelServer {
            id: id.to_string(),
            address: listener.local_addr().expect("an address"),
            plan: plan.clone(),
            boot: Mutex::default(),
            running: AtomicUsize::new(0),
            lost_percent: AtomicU64::new(0),
            begun: AtomicU64::new(0),
            is_unframed: AtomicBool::new(false),
        });
        server.begin(listener, software);
        server
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.boot.lock().unwrap().is_none()
    }

    /// Number of streams that it sends now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Sends streams that have neither a length nor chunks and end with their channel.
    pub fn send_unframed(&self) {
        self.is_unframed.store(true, Ordering::SeqCst);
    }

    /// Sets how many of a hundred answers are lost.
    pub fn lose_answers(&self, percent: u64) {
        self.lost_percent.store(percent, Ordering::SeqCst);
    }

    /// Whether the answer to the next request is lost.
    fn loses_answer(&self) -> bool {
        let percent = self.lost_percent.load(Ordering::SeqCst);
        let number = self.begun.fetch_add(1, Ordering::SeqCst);
        // A fixed sequence without a pattern in it.
        let drawn = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        drawn % 100 < percent
    }

    /// Ends at once, without a word.
    pub fn end(&self) {
        let Some(boot) = self.boot.lock().unwrap().take() else { return };
        let running = self.running();
        self.plan.record.line(&format!(
            "server {} ({}) ends; it runs {running} requests",
            self.id, boot.software
        ));
        boot.served.end();
    }

    /// Starts again under its id and address.
    pub fn restart(self: &Arc<Self>, software: &str) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.begin(listener, software);
        self.plan.record.line(&format!(
            "server {} starts again under its id, with software {software}",
            self.id
        ));
    }

    fn begin(self: &Arc<Self>, listener: TcpListener, software: &str) {
        let (server, version) = (self.clone(), software.to_string());
        let (born, cache) = (crate::unix_ms(), KvCache::default());
        let served = http::serve(listener, move |channel, call, served| {
            server.handle(channel, &call, &version, (born, &cache), served)
        });
        let (writing, beating) = (self.clone(), served.clone());
        *self.boot.lock().unwrap() = Some(Boot { software: software.to_string(), born, served });
        self.write_entry();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_ended() {
                    return;
                }
                writing.write_entry();
            }
        });
    }

    fn write_entry(&self) {
        let boot = self.boot.lock().unwrap();
        let Some(Boot { software, born, .. }) = &*boot else { return };
        let (address, ServerPlan { service, model, .. }) = (self.address, &self.plan);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"{software}\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"unified\",\
             \"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\"seq\":0,\"born\":{born}}}"
        );
        self.plan.store.write(&format!("servers/{}", self.id), &entry);
    }

    fn handle(
        &self,
        channel: &mut Channel,
        call: &Message,
        software: &str,
        (born, cache): (u64, &KvCache),
        served: &Served,
    ) -> io::Result<()> {
        let json = [("Content-Type", "application/json")];
        if call.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("Instance-Id", self.id.as_str()), ("Not-Executed", "1")];
            return channel.answer("421 Misdirected Request", &headers, b"");
        }
        match (call.method(), call.path()) {
            ("GET", "/healthz") => channel.answer("200 OK", &[("Instance-Id", &self.id)], b""),
            ("GET", "/report") => {
                let (model, active) = (self.plan.model, self.running());
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":0,\"queued\":0,\"active\":{active},\"kvUsed\":0,\"kvTotal\":95724,\"handles\":0}}"
                );
                channel.answer("200 OK", &json, body.as_bytes())
            }
            ("GET", "/kv-events") => {
                let wait = call.header("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                thread::sleep(Duration::from_millis(wait));
                let body =
                    format!("{{\"bootEpoch\":{born},\"next\":1,\"lost\":false,\"events\":[]}}");
                channel.answer("200 OK", &json, body.as_bytes())
            }
            _ => {
                self.running.fetch_add(1, Ordering::SeqCst);
                let sent = self.stream(channel, call, software, cache, served);
                self.running.fetch_sub(1, Ordering::SeqCst);
                sent
            }
        }
    }

    /// Runs a request: sends its events after the one that the client had last.
    fn stream(
        &self,
        channel: &mut Channel,
        call: &Message,
        software: &str,
        cache: &KvCache,
        served: &Served,
    ) -> io::Result<()> {
        let Some(request) = call.header("request-id") else {
            return channel.answer("400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        let id = ("Request-Id", request.as_str());
        if call.header("expect-version").is_some_and(|version| version != "1") {
            return channel.answer("421 Misdirected Request", &[id, ("Not-Executed", "1")], b"");
        }
        let last = call.header("last-event-id").and_then(|text| text.trim().parse::<u64>().ok());
        let (salt, used) = use_cache(cache, call, &request);
        self.plan.record.line(&format!(
            "server {} ({software}) runs {request} after event {}, Cache-Salt {salt:?}, uses KV cache of {used:?}",
            self.id,
            last.unwrap_or(0)
        ));
        self.plan.runs.lock().unwrap().push(Run { request: request.clone(), used });
        let is_unframed = self.is_unframed.load(Ordering::SeqCst);
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: 1.{}.{request}\r\nWeight-Versions: 1\r\n\
             Server-Load: {},0,64\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.id,
            self.running()
        );
        if call.header("prompt-prefix").is_some_and(|prefix| prefix.contains(DEADLY_PART)) {
            self.plan.record.line(&format!("server {} crashes under {request}", self.id));
            self.end();
            return Err(io::ErrorKind::Interrupted.into());
        }
        if self.loses_answer() {
            self.plan
                .record
                .line(&format!("the answer of server {} to {request} is lost", self.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        channel.stream.write_all(head.as_bytes())?;
        for number in last.unwrap_or(0) + 1..=self.plan.events {
            if number > 1 {
                thread::sleep(self.plan.gap);
            }
            if served.is_ended() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: {software} {} token {number}\n\n", self.id);
            let bytes =
                if is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
            channel.stream.write_all(bytes.as_bytes())?;
        }
        if is_unframed {
            // The end of the channel is the end of the stream.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        channel.stream.write_all(b"0\r\n\r\n")
    }
}

/// Keeps the parts of a request's prompt. Returns the text under which they are kept, and the requests that
/// made those at the beginning of the prompt that were there.
fn use_cache(cache: &KvCache, call: &Message, request: &str) -> (Option<String>, Vec<String>) {
    let salt = call.header("cache-salt");
    let prefix = call.header("prompt-prefix").unwrap_or_default();
    let mut cache = cache.lock().unwrap();
    let (mut used, mut is_kept) = (Vec::new(), true);
    for part in prefix.split(',').filter_map(|part| part.split(':').next()) {
        let key = (salt.clone().unwrap_or_default(), part.trim().to_string());
        match cache.get(&key) {
            Some(maker) if is_kept => used.push(maker.clone()),
            _ => {
                is_kept = false;
                cache.insert(key, request.to_string());
            }
        }
    }
    used.dedup();
    (salt, used)
}
