//! A sound model server that streams events, and its entry in the store.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    http::{self, Message},
    plain_server::{BUDGET_MS, HOST, KEY, unix_ms},
    store::Store,
};

pub const MODEL: &str = "daka510000";

/// What a model server streams to each request.
#[derive(Debug, Clone, Copy)]
pub struct StreamShape {
    pub events: u32,
    pub interval: Duration,
    /// After which event the server is silent, and for how long.
    pub silence: Option<(u32, Duration)>,
}

/// How far each request has come, by its id: events that were made, and whether the stream is complete.
pub type Progress = BTreeMap<String, (u32, bool)>;

#[derive(Clone)]
pub struct Engine {
    pub instance: String,
    pub software: String,
    pub address: SocketAddr,
    progress: Arc<Mutex<Progress>>,
}

impl Engine {
    pub fn start(instance: &str, software: &str, shape: StreamShape, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (instance, software) = (instance.to_string(), software.to_string());
        let engine = Engine { instance, software, address, progress: Arc::default() };
        let (serving, record) = (engine.clone(), record.clone());
        http::serve(listener, move |request, stream| {
            serving.handle(request, stream, shape, &record)
        });
        engine
    }

    pub fn progress(&self) -> Progress {
        self.progress.lock().expect("no panic").clone()
    }

    /// Writes the entry of the server.
    pub fn list(&self, store: &Store) {
        let Engine { instance, software, address, .. } = self;
        let born = unix_ms();
        store.put(
            &format!("servers/{instance}"),
            &format!(
                r#"{{"service":"assist","address":"{address}","zone":"z1","version":"{software}","slots":64,"state":"ready","coldRemainingMs":0,"born":{born},"seq":1,"stage":"unified","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}]}}"#
            ),
        );
    }

    fn handle(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        shape: StreamShape,
        record: &Record,
    ) -> io::Result<bool> {
        let id = request.header("request-id").to_string();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.instance {
            let rejection = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            http::write_response(stream, 421, &rejection, b"")?;
            return Ok(true);
        }
        let (method, target) = request.method_and_target();
        let json = "Content-Type: application/json\r\n";
        if method == "GET" && target.starts_with("/kv-events") {
            let wait = request.header("wait-ms").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(wait));
            let body = br#"{"bootEpoch":7,"next":0,"lost":false,"events":[]}"#;
            http::write_response(stream, 200, json, body)?;
            return Ok(true);
        }
        if method == "GET" && target == "/report" {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0}}"#
            );
            http::write_response(stream, 200, json, body.as_bytes())?;
            return Ok(true);
        }
        let first: u32 = request.header("last-event-id").parse().map_or(1, |last: u32| last + 1);
        record
            .add(&format!("{} ({}) runs {id} from event {first} on", self.instance, self.software));
        let proof = format!("Response-Signature: {}.{id}\r\n", self.instance);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{proof}Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in first..=shape.events {
            let text = format!("id: {event}\ndata: token\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            self.progress.lock().expect("no panic").insert(id.clone(), (event, false));
            thread::sleep(shape.interval);
            if let Some((_, silence)) = shape.silence.filter(|(after, _)| *after == event) {
                record.add(&format!("{} falls silent on {id} after event {event}", self.instance));
                let since = Instant::now();
                thread::sleep(silence);
                let seconds = since.elapsed().as_secs_f64();
                record.add(&format!("{} goes on with {id} after {seconds:.2} s", self.instance));
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.progress.lock().expect("no panic").insert(id.clone(), (shape.events, true));
        record.add(&format!("{} has sent the whole stream to {id}", self.instance));
        Ok(true)
    }
}

/// Writes a configuration with one route of streams that may be resumed.
/// `gap_ms` is its wanted longest pause between events.
pub fn configure_streams(store: &Store, version: u64, gap_ms: u64) {
    store.put(
        "op/config",
        &format!(
            r#"{{"version":{version},"routes":[{{"name":"ask","host":"{HOST}","prefix":"/ask/","kind":"streaming","timeoutMs":{BUDGET_MS},"targetLatencyMs":800,"priority":0,"service":"assist","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":{gap_ms}}}],"services":[{{"name":"assist","healthPath":"/healthz","maxConnections":370,"engine":{{"slots":64,"kvCapacity":95724,"kvTokenBytes":163840,"linkMbps":550000,"maxConcurrency":4,"models":[{{"name":"{MODEL}"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"w1","apiKeys":["{KEY}"],"isolated":false}}]}}"#
        ),
    );
}

/// Returns a request for a stream. `part` tells its prompt from others.
pub fn stream_request(id: &str, part: u32) -> String {
    request_with(id, part, "")
}

/// Returns a request that takes up the stream that the attempt `resumes` began, after an event.
pub fn resumed_request(id: &str, part: u32, last_event: u32, resumes: &str) -> String {
    let headers = match last_event {
        0 => String::new(),
        _ => format!("Last-Event-Id: {last_event}\r\nResumes: {resumes}\r\n"),
    };
    request_with(id, part, &headers)
}

fn request_with(id: &str, part: u32, headers: &str) -> String {
    // Each prompt has a body of its own.
    let body = format!("question {part}");
    format!(
        "POST /ask/question HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {BUDGET_MS}\r\n\
         Authorization: Token {KEY}\r\nModel: {MODEL}\r\nToken-Usage: 826,58\r\n\
         Prompt-Prefix: {part:x}:198,{:x}:628\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        part + 0x1000,
        body.len()
    )
}
