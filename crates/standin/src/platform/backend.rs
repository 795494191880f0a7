//! A simulated backend server that sends scripted responses byte for byte, so that tests can send
//! malformed and truncated HTTP.

mod paced;
mod recorded;
mod script;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub use self::{recorded::RecordedRequest, script::ResponseScript};
use crate::util::{self, lock};
use paced::send_paced;
use recorded::{READ_BYTES, read_request};

/// Placeholder in a response that is replaced by the request's `request-id` header.
const ID_PLACEHOLDER: &str = "{id}";
/// Beginning of a query of the server's state.
const STATE_QUERY: &str = "GET /report ";
/// Time between two looks whether the sender of an unread body has gone.
const PEEK_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the send buffer of an endless response, in bytes.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// How a backend server responds to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendResponse {
    /// Sends these bytes, with `{id}` replaced by the request's id, and keeps the connection open.
    /// The variants below replace `{id}` as well.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Sends these bytes and resets the connection.
    SendAndReset(String),
    /// Sends these bytes once the head of the request has arrived, and does not read its body. Then resets
    /// the connection (`resets`), or ends it without a reset while the body is still under way.
    BeforeBody {
        /// Sent first.
        text: String,
        /// Whether the connection is reset.
        resets: bool,
    },
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Sends `head`, then `piece` again and again until the client closes the connection.
    Endless {
        /// Sent first.
        head: String,
        /// Sent repeatedly.
        piece: String,
    },
    /// Sends `head`, then `pieces` one after another with pauses before them. The last one is repeated
    /// until the client closes the connection, unless `ends` is set.
    Paced {
        /// Sent first.
        head: String,
        /// Sent one after another.
        pieces: Vec<String>,
        /// Pause before each piece.
        pause: Duration,
        /// Whether the response ends with the last piece.
        ends: bool,
    },
}

#[derive(Debug)]
struct BackendShared {
    default: BackendResponse,
    queued: ResponseScript,
    /// Response to requests with a prompt part, by the part's hexadecimal id.
    part_response: Mutex<Option<(String, BackendResponse)>>,
    /// Header lines that all responses have, each with its line end.
    extra_headers: Mutex<String>,
    /// Response to requests that continue a stream.
    resume_response: Mutex<Option<BackendResponse>>,
    /// Cache events as JSON rows. Invariant: the row at index `n` has the number `n + 1`.
    cache_events: watch::Sender<Vec<String>>,
    /// Number of cache events that the client has read, taken from its latest request for events.
    events_read: watch::Sender<usize>,
    recorded: Mutex<Vec<RecordedRequest>>,
    /// Number of requests received, without those for cache events or the state, and number of connections
    /// closed by the client or by a failed write.
    counts: watch::Sender<(usize, usize)>,
    /// Number of requests for cache events received so far.
    event_polls: AtomicUsize,
    /// Bytes of endless responses that the system has taken from the server so far.
    endless_bytes: AtomicUsize,
}

/// Handle of a running backend server. Clones refer to the same server.
#[derive(Debug, Clone)]
pub struct BackendHandle {
    addr: SocketAddr,
    shared: Arc<BackendShared>,
}

/// Starts a backend server inside the caller's actix system. It sends `default` while no other
/// response is queued. Fails if no port can be bound.
pub async fn start_backend(default: BackendResponse) -> io::Result<BackendHandle> {
    start_scripted_backend(default, ResponseScript::default()).await
}

/// Starts a backend server like [`start_backend`], whose queued responses are those of a script.
pub async fn start_scripted_backend(
    default: BackendResponse,
    script: ResponseScript,
) -> io::Result<BackendHandle> {
    let listener = TcpListener::from_std(util::listen(util::ephemeral_addr())?)?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(BackendShared {
        default,
        queued: script,
        part_response: Mutex::default(),
        extra_headers: Mutex::default(),
        resume_response: Mutex::default(),
        cache_events: watch::channel(Vec::new()).0,
        events_read: watch::channel(0).0,
        recorded: Mutex::default(),
        counts: watch::channel((0, 0)).0,
        event_polls: AtomicUsize::new(0),
        endless_bytes: AtomicUsize::new(0),
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
    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues responses for the next requests, one each.
    pub fn queue_responses(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        self.shared.queued.extend(responses);
    }

    /// Discards the queued responses and queues these instead.
    pub fn replace_queued_responses(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        self.shared.queued.replace(responses);
    }

    /// Sends `response` to all requests whose prompt has this part, unless it is the last one. The
    /// other requests get the queued responses and the default.
    pub fn set_part_response(&self, part: &str, response: BackendResponse) {
        *lock(&self.shared.part_response) = Some((part.to_string(), response));
    }

    /// Sends `response` to all requests that continue a stream after an event. The other requests get
    /// the queued responses and the default.
    pub fn set_resume_response(&self, response: BackendResponse) {
        *lock(&self.shared.resume_response) = Some(response);
    }

    /// Adds header lines, each with its line end, to all responses from now on.
    pub fn set_extra_headers(&self, lines: &str) {
        *lock(&self.shared.extra_headers) = lines.to_string();
    }

    /// Returns the number of requests received whose prompt has this part, unless it is the last.
    pub fn part_requests(&self, part: &str) -> usize {
        lock(&self.shared.recorded).iter().filter(|request| request.has_shared_part(part)).count()
    }

    /// Adds a cache event: the prompt part with this hexadecimal id is now cached under the salt
    /// (`held`), or has been evicted.
    pub fn add_cache_event(&self, salt: &str, part: &str, held: bool) {
        self.shared.cache_events.send_modify(|events| {
            let (number, sign) = (events.len() + 1, if held { "+" } else { "-" });
            events.push(format!(r#"[{number},"{sign}","{salt}","{part}",100,"model"]"#));
        });
    }

    /// Waits until the client has confirmed `count` cache events by asking for later ones.
    pub async fn wait_for_events_read(&self, count: usize) {
        // Fails only if the sender is dropped; this handle keeps it alive.
        drop(self.shared.events_read.subscribe().wait_for(|taken| *taken >= count).await);
    }

    /// Returns the requests received so far, without requests for cache events or the state.
    pub fn recorded_requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.recorded).clone()
    }

    /// Whether a request with this id was received.
    pub fn has_request(&self, id: &str) -> bool {
        let recorded = lock(&self.shared.recorded);
        recorded.iter().any(|request| request.header("request-id") == Some(id))
    }

    /// Returns the number of connections that their clients have closed so far.
    pub fn closes(&self) -> usize {
        self.shared.counts.borrow().1
    }

    /// Waits until `count` requests have been received since the start.
    pub async fn wait_for_requests(&self, count: usize) {
        self.wait(|(requests, _)| requests >= count).await;
    }

    /// Returns the number of requests for cache events received so far.
    pub fn event_polls(&self) -> usize {
        self.shared.event_polls.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of endless responses that were sent so far.
    pub fn endless_bytes(&self) -> usize {
        self.shared.endless_bytes.load(Ordering::Relaxed)
    }

    /// Waits until `count` connections have been closed by their clients since the start.
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
    let answers_early = || {
        let next = shared.queued.peek().unwrap_or_else(|| shared.default.clone());
        matches!(next, BackendResponse::BeforeBody { .. })
    };
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer, answers_early).await {
        if let Some(since) = parse_events_query(&request) {
            shared.event_polls.fetch_add(1, Ordering::Relaxed);
            let may_wait = request.header("wait-ms").is_some();
            let events = events_response(&shared, since, may_wait).await;
            let answer = with_extra_headers(&shared, &events);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
            continue;
        }
        if request.head.starts_with(STATE_QUERY) {
            // A query of the state runs no client's request, so no script and no fault is for it.
            let answer = match &shared.default {
                BackendResponse::Send(text) => text.replace(ID_PLACEHOLDER, ""),
                _ => ok_response("ok"),
            };
            let answer = with_extra_headers(&shared, &answer);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
            continue;
        }
        let id = request.header("request-id").unwrap_or_default().to_string();
        let answer = choose_response(&shared, &request);
        lock(&shared.recorded).push(request);
        shared.counts.send_modify(|counts| counts.0 += 1);
        let (text, end) = match answer {
            BackendResponse::Send(text) => (text, None),
            BackendResponse::SendAndClose(text) => (text, Some(false)),
            BackendResponse::SendAndReset(text) => (text, Some(true)),
            BackendResponse::NoResponse => (String::new(), None),
            BackendResponse::BeforeBody { text, resets } => {
                let text = with_extra_headers(&shared, &text.replace(ID_PLACEHOLDER, &id));
                return send_before_body(stream, &text, resets).await;
            }
            BackendResponse::Endless { head, piece } => {
                let head = head.replace(ID_PLACEHOLDER, &id);
                send_endless(&shared, &mut stream, &head, &piece).await;
                break;
            }
            BackendResponse::Paced { head, pieces, pause, ends } => {
                let numbered = |text: &String| text.replace(ID_PLACEHOLDER, &id);
                let (head, pieces) = (numbered(&head), pieces.iter().map(numbered));
                let pieces: Vec<String> = pieces.collect();
                if !send_paced(&mut stream, &head, &pieces, pause, ends).await {
                    break;
                }
                continue;
            }
        };
        let text = with_extra_headers(&shared, &text.replace(ID_PLACEHOLDER, &id));
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
        match end {
            // Closing a socket with a linger time of zero sends RST instead of FIN.
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

/// Sends a response and ends the connection while the rest of the request is still under way.
async fn send_before_body(mut stream: TcpStream, text: &str, resets: bool) {
    // The body does not fit into the buffers, so that its sender has to wait.
    drop(SockRef::from(&stream).set_recv_buffer_size(SEND_BUFFER_BYTES));
    drop(stream.write_all(text.as_bytes()).await);
    if resets {
        drop(stream.set_zero_linger());
        return;
    }
    drop(stream.shutdown().await);
    // What arrives after the end is left unread until the sender has gone.
    while stream.peek(&mut [0]).await.is_ok_and(|count| count > 0) {
        tokio::time::sleep(PEEK_INTERVAL).await;
    }
}

fn with_extra_headers(shared: &BackendShared, text: &str) -> String {
    match text.split_once("\r\n") {
        Some((status, rest)) => format!("{status}\r\n{}{rest}", lock(&shared.extra_headers)),
        None => text.to_string(),
    }
}

fn choose_response(shared: &BackendShared, request: &RecordedRequest) -> BackendResponse {
    if let Some((part, response)) = &*lock(&shared.part_response)
        && request.has_shared_part(part)
    {
        return response.clone();
    }
    if let Some(response) = &*lock(&shared.resume_response)
        && request.header("last-event-id").is_some()
    {
        return response.clone();
    }
    shared.queued.take().unwrap_or_else(|| shared.default.clone())
}

/// Sends bytes until the client closes the connection.
async fn send_endless(shared: &BackendShared, stream: &mut TcpStream, head: &str, piece: &str) {
    // Bytes that wait in a send buffer have not been taken by the client.
    if SockRef::from(&*stream).set_send_buffer_size(SEND_BUFFER_BYTES).is_err() {
        return;
    }
    let piece = piece.repeat(READ_BYTES.div_ceil(piece.len()));
    let mut next = head.as_bytes();
    while stream.write_all(next).await.is_ok() {
        shared.endless_bytes.fetch_add(next.len(), Ordering::Relaxed);
        next = piece.as_bytes();
    }
}

/// Returns the number of events already read if this is a request for cache events, else `None`.
fn parse_events_query(request: &RecordedRequest) -> Option<usize> {
    let target = request.head.strip_prefix("GET /kv-events?since=")?;
    target.split(' ').next()?.parse().ok()
}

/// Returns the response with the events after `since`. If it may wait, it waits for one without limit.
async fn events_response(shared: &BackendShared, since: usize, may_wait: bool) -> String {
    shared.events_read.send_replace(since);
    let mut events = shared.cache_events.subscribe();
    // Waiting cannot fail: `shared` keeps the sender alive.
    let rows = match events.wait_for(|events| events.len() > since || !may_wait).await {
        Ok(rows) => rows[since.min(rows.len())..].join(","),
        Err(_) => String::new(),
    };
    let next = shared.cache_events.borrow().len();
    let body = format!(r#"{{"bootEpoch":1,"next":{next},"lost":false,"events":[{rows}]}}"#);
    ok_response(&body)
}

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
