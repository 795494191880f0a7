//! A sound server of a plain service, its entry in the store, and a small configuration.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    store::Store,
};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-w1";
/// Time budget of the clients, and the routes' `timeoutMs`, in milliseconds.
pub const BUDGET_MS: u64 = 15_000;

/// How a server works.
#[derive(Debug, Clone, Copy)]
pub struct ServerShape {
    /// Requests that run at the same time, and those that wait beside them; further ones are rejected.
    pub slots: usize,
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
    pub answer_bytes: usize,
}

/// What happened to a request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Instant,
    /// Whether the server has handed its whole answer to the channel.
    pub is_answered: bool,
}

#[derive(Default)]
struct ServerState {
    running: usize,
    waiting: usize,
    /// Requests that were not rejected, by their ids.
    arrivals: BTreeMap<String, Arrival>,
    has_exited: bool,
}

/// A sound server of a plain service.
#[derive(Clone)]
pub struct PlainServer {
    pub instance: String,
    pub address: SocketAddr,
    state: Arc<(Mutex<ServerState>, Condvar)>,
}

impl PlainServer {
    pub fn start(instance: &str, shape: ServerShape) -> PlainServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = PlainServer { instance: instance.to_string(), address, state: Arc::default() };
        let body = vec![b'a'; shape.answer_bytes];
        let serving = server.clone();
        http::serve(listener, move |request, stream| serving.handle(request, stream, shape, &body));
        server
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.0.lock().expect("no panic while a server is locked")
    }

    /// Ends the server: its channels are closed, also those of requests that run, and new ones are.
    pub fn exit(&self) {
        self.lock().has_exited = true;
        self.state.1.notify_all();
    }

    /// Requests that the server has taken.
    pub fn arrivals(&self) -> BTreeMap<String, Arrival> {
        self.lock().arrivals.clone()
    }

    fn handle(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        shape: ServerShape,
        body: &[u8],
    ) -> io::Result<bool> {
        let id = request.header("request-id").to_string();
        let rejection = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.instance {
            http::write_response(stream, 421, &rejection, b"")?;
            return Ok(true);
        }
        if request.method_and_target().1 == "/healthz" {
            let headers = format!("Instance-Id: {}\r\n", self.instance);
            http::write_response(stream, 200, &headers, b"")?;
            return Ok(true);
        }
        let mut state = self.lock();
        if state.running == shape.slots && state.waiting == shape.queue {
            let load = load_header(&state, shape);
            drop(state);
            http::write_response(stream, 503, &format!("{rejection}{load}"), b"")?;
            return Ok(true);
        }
        state.arrivals.insert(id.clone(), Arrival { at: Instant::now(), is_answered: false });
        state.waiting += 1;
        let is_full = |state: &mut ServerState| state.running == shape.slots && !state.has_exited;
        state = self.state.1.wait_while(state, is_full).expect("no panic while a server is locked");
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        thread::sleep(shape.work);
        let mut state = self.lock();
        state.running -= 1;
        self.state.1.notify_all();
        if state.has_exited {
            return Ok(false);
        }
        let load = load_header(&state, shape);
        drop(state);
        let proof = format!("Response-Signature: {}.{id}\r\n", self.instance);
        http::write_response(stream, 200, &format!("Request-Id: {id}\r\n{proof}{load}"), body)?;
        if let Some(arrival) = self.lock().arrivals.get_mut(&id) {
            arrival.is_answered = true;
        }
        Ok(true)
    }
}

fn load_header(state: &ServerState, shape: ServerShape) -> String {
    format!("Server-Load: {},{},{}\r\n", state.running, state.waiting, shape.slots)
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_millis())
}

/// Writes the entry of a ready server.
pub fn list(store: &Store, server: &PlainServer) {
    let PlainServer { instance, address, .. } = server;
    let born = unix_ms();
    store.put(
        &format!("servers/{instance}"),
        &format!(
            r#"{{"service":"desk","address":"{address}","zone":"z1","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"born":{born},"seq":1}}"#
        ),
    );
}

/// Writes a configuration with a booking route and a reading one.
pub fn configure(store: &Store, version: u64) {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeoutMs":{BUDGET_MS},"targetLatencyMs":3000,"priority":1,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}"#
        )
    };
    let (book, read) = (route("book", "non_idempotent"), route("read", "idempotent"));
    store.put(
        "op/config",
        &format!(
            r#"{{"version":{version},"routes":[{book},{read}],"services":[{{"name":"desk","healthPath":"/healthz","maxConnections":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"w1","apiKeys":["{KEY}"],"isolated":false}}]}}"#
        ),
    );
}

/// Returns a request of a client.
pub fn request(route: &str, id: &str) -> String {
    let (method, length) = if route == "book" { ("POST", 4) } else { ("GET", 0) };
    let body = "x".repeat(length);
    format!(
        "{method} /{route}/bay HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {BUDGET_MS}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
