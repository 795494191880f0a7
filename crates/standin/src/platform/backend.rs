//! A backend server whose answers are given byte by byte.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::util::{self, lock};

/// Stands for the id of the request in an answer.
const ID_PLACEHOLDER: &str = "{id}";
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// What a backend server does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendResponse {
    /// Sends these bytes, in which `{id}` stands for the request's id, and keeps the connection.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Sends these bytes and resets the connection.
    SendAndReset(String),
    /// Answers nothing and keeps the connection.
    NoResponse,
}

/// A request that a backend server got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The head as it was sent.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl RecordedRequest {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }
}

#[derive(Debug)]
struct BackendShared {
    default: BackendResponse,
    queued: Mutex<VecDeque<BackendResponse>>,
    /// Cache events as JSON rows. Invariant: the row at position `n` has the number `n + 1`.
    cache_events: watch::Sender<Vec<String>>,
    /// Cache events that a caller has got, as its next question says.
    events_read: watch::Sender<usize>,
    recorded: Mutex<Vec<RecordedRequest>>,
    /// Number of requests, and of connections that their callers closed.
    counts: watch::Sender<(usize, usize)>,
}

/// A running backend server.
#[derive(Debug, Clone)]
pub struct BackendHandle {
    addr: SocketAddr,
    shared: Arc<BackendShared>,
}

/// Starts a backend server that gives `default` unless another answer is queued.
pub async fn start_backend(default: BackendResponse) -> io::Result<BackendHandle> {
    let listener = TcpListener::from_std(util::listen(util::ephemeral_addr())?)?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(BackendShared {
        default,
        queued: Mutex::default(),
        cache_events: watch::channel(Vec::new()).0,
        events_read: watch::channel(0).0,
        recorded: Mutex::default(),
        counts: watch::channel((0, 0)).0,
    });
    let accepting = shared.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(accepting.clone(), stream));
        }
    });
    Ok(BackendHandle { addr, shared })
}

impl BackendHandle {
    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Gives these answers to the next requests.
    pub fn queue_responses(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        lock(&self.shared.queued).extend(responses);
    }

    /// Gives these answers to the next requests, in place of those queued before.
    pub fn replace_queued_responses(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        let mut queued = lock(&self.shared.queued);
        queued.clear();
        queued.extend(responses);
    }

    /// Adds a cache event: the part with this identity, in hexadecimal digits, is kept under the
    /// salt, or is not any more.
    pub fn add_cache_event(&self, salt: &str, part: &str, held: bool) {
        self.shared.cache_events.send_modify(|events| {
            let (number, sign) = (events.len() + 1, if held { "+" } else { "-" });
            events.push(format!(r#"[{number},"{sign}","{salt}","{part}",100,"model"]"#));
        });
    }

    /// Waits until a caller has got this many cache events.
    pub async fn wait_for_events_read(&self, count: usize) {
        // Fails only without the server, which lives as long as this handle.
        drop(self.shared.events_read.subscribe().wait_for(|taken| *taken >= count).await);
    }

    /// Requests so far, without questions for cache events.
    pub fn recorded_requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.recorded).clone()
    }

    /// Waits for this many requests.
    pub async fn wait_for_requests(&self, count: usize) {
        self.wait(|(requests, _)| requests >= count).await;
    }

    /// Waits until callers have closed this many connections.
    pub async fn wait_for_closes(&self, count: usize) {
        self.wait(|(_, closes)| closes >= count).await;
    }

    async fn wait(&self, reached: impl Fn((usize, usize)) -> bool) {
        let mut counts = self.shared.counts.subscribe();
        while !reached(*counts.borrow_and_update()) {
            if counts.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn serve(shared: Arc<BackendShared>, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer).await {
        if let Some(since) = parse_events_query(&request) {
            let answer = events_response(&shared, since).await;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
            continue;
        }
        let id = request.header("request-id").unwrap_or_default().to_string();
        lock(&shared.recorded).push(request);
        shared.counts.send_modify(|counts| counts.0 += 1);
        let queued = lock(&shared.queued).pop_front();
        let answer = queued.unwrap_or_else(|| shared.default.clone());
        let (text, end) = match answer {
            BackendResponse::Send(text) => (text, None),
            BackendResponse::SendAndClose(text) => (text, Some(false)),
            BackendResponse::SendAndReset(text) => (text, Some(true)),
            BackendResponse::NoResponse => (String::new(), None),
        };
        if stream.write_all(text.replace(ID_PLACEHOLDER, &id).as_bytes()).await.is_err() {
            break;
        }
        match end {
            // Closing with a linger of zero resets the connection once the bytes have arrived.
            Some(true) => {
                drop(stream.flush().await);
                drop(stream.set_zero_linger());
                return;
            }
            Some(false) => return,
            None => {}
        }
    }
    shared.counts.send_modify(|counts| counts.1 += 1);
}

/// The event from which on a question asks; `None` for any other request.
fn parse_events_query(request: &RecordedRequest) -> Option<usize> {
    let target = request.head.strip_prefix("GET /kv-events?since=")?;
    target.split(' ').next()?.parse().ok()
}

/// Answers as soon as there are events, however long that takes.
async fn events_response(shared: &BackendShared, since: usize) -> String {
    shared.events_read.send_replace(since);
    let mut events = shared.cache_events.subscribe();
    // The sender lives as long as the server.
    let rows = match events.wait_for(|events| events.len() > since).await {
        Ok(rows) => rows[since..].join(","),
        Err(_) => String::new(),
    };
    let next = shared.cache_events.borrow().len();
    let body = format!(r#"{{"bootEpoch":1,"next":{next},"lost":false,"events":[{rows}]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads one request; `None` when the caller has closed the connection.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<RecordedRequest>> {
    loop {
        if let Some(request) = split_request(buffer) {
            return Ok(Some(request));
        }
        let mut chunk = vec![0; READ_BYTES];
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn split_request(buffer: &mut Vec<u8>) -> Option<RecordedRequest> {
    let head_end = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let request = RecordedRequest { head, body: Vec::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffer.len() < head_end + length {
        return None;
    }
    let rest = buffer.split_off(head_end + length);
    let body = buffer.split_off(head_end);
    *buffer = rest;
    Some(RecordedRequest { body, ..request })
}
