//! Connections that others open to this node.
//!
//! A connection that is idle for too long, or sends a head too slowly, is closed; one that carries
//! a request never is. While the node stops, connections stay open until their callers have had
//! time to learn of it, since a request may already be on its way.

use std::{
    cell::Cell,
    convert::Infallible,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until},
};

use crate::{body::AnswerBody, node::Node, socket};

/// Descriptors for files, backend servers, the store and other nodes.
const RESERVED_DESCRIPTORS: u32 = 1_200;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time after which an idle connection looks whether it should close.
const LONGEST_WATCH: Duration = Duration::from_secs(1);
/// The HTTP library needs at least this much buffer.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Answers requests of one kind of peer.
pub trait RequestHandler: 'static {
    /// Answers a request.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + 'static;
}

/// What a connection does now.
#[derive(Debug)]
struct ConnectionWatch {
    in_flight: Cell<u32>,
    /// When the last request ended, or the connection was opened.
    idle_since: Cell<Instant>,
    /// When the first byte of the next request arrived.
    head_since: Cell<Option<Instant>>,
}

impl ConnectionWatch {
    fn new() -> ConnectionWatch {
        ConnectionWatch {
            in_flight: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
        }
    }

    fn on_bytes(&self) {
        if self.in_flight.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    fn on_request(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.head_since.set(None);
    }

    fn on_answer(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.idle_since.set(Instant::now());
    }

    /// When the connection is to be closed unless something happens before.
    fn closes_at(&self, node: &Node) -> Option<Instant> {
        if self.in_flight.get() > 0 {
            return None;
        }
        let limits = node.state.borrow().routes.limits();
        match self.head_since.get() {
            Some(since) => Some(since + limits.header_timeout),
            None => Some(self.idle_since.get() + limits.idle_timeout),
        }
    }
}

/// Ends the count of a request when its answer has been written or given up.
struct FlightCount {
    watch: Rc<ConnectionWatch>,
    node: Rc<Node>,
}

impl FlightCount {
    fn start(watch: Rc<ConnectionWatch>, node: Rc<Node>) -> FlightCount {
        watch.on_request();
        node.in_flight.set(node.in_flight.get() + 1);
        FlightCount { watch, node }
    }
}

impl Drop for FlightCount {
    fn drop(&mut self) {
        self.watch.on_answer();
        self.node.in_flight.set(self.node.in_flight.get() - 1);
    }
}

/// Accepts connections until the node closes.
pub async fn serve<H: RequestHandler>(node: Rc<Node>, listener: TcpListener, handler: Rc<H>) {
    let most = node.settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    loop {
        if node.connections.get() >= most {
            // Those that wait in the backlog are taken when others have closed.
            sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(cause) = socket::watch_peer(&stream) {
                    log::debug!(cause:% = cause; "failed to set options of a connection");
                }
                actix_rt::spawn(carry(node.clone(), stream, handler.clone()));
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "failed to accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts an open connection.
struct ConnectionCount {
    node: Rc<Node>,
}

impl ConnectionCount {
    fn start(node: &Rc<Node>) -> ConnectionCount {
        node.connections.set(node.connections.get() + 1);
        ConnectionCount { node: node.clone() }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.node.connections.set(self.node.connections.get() - 1);
    }
}

async fn carry<H: RequestHandler>(node: Rc<Node>, stream: TcpStream, handler: Rc<H>) {
    let _count = ConnectionCount::start(&node);
    let watch = Rc::new(ConnectionWatch::new());
    let service = service_fn(|request: Request<Incoming>| {
        let count = FlightCount::start(watch.clone(), node.clone());
        let answer = handler.clone().answer(request);
        let draining = node.draining.clone();
        async move {
            let mut response = answer.await;
            if draining.get() {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody { body, _count: count }))
        }
    });
    let header_bytes = node.state.borrow().routes.limits().max_header_bytes;
    let watched = WatchedStream { stream, watch: watch.clone() };
    let mut connection = pin!(
        Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(watched), service)
    );
    loop {
        let latest = Instant::now() + LONGEST_WATCH;
        let wake = watch.closes_at(&node).map_or(latest, |at| at.min(latest));
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!(cause:% = cause; "caller's connection ended");
                }
                return;
            }
            () = sleep_until(wake) => {
                let due = watch.closes_at(&node).is_some_and(|at| at <= Instant::now());
                if due && watch.head_since.get().is_some() {
                    log::debug!("caller sent a request head too slowly");
                    return;
                }
                if due || (node.closing.get() && watch.in_flight.get() == 0) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// A body that keeps its request counted until it has been written or dropped.
struct CountedBody {
    body: AnswerBody,
    _count: FlightCount,
}

impl http_body::Body for CountedBody {
    type Data = bytes::Bytes;
    type Error = crate::body::BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<bytes::Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Notes when bytes of a request arrive.
struct WatchedStream {
    stream: TcpStream,
    watch: Rc<ConnectionWatch>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.on_bytes();
        }
        poll
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
