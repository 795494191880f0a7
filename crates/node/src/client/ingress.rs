//! Serves the connections that clients, other nodes and the platform open to this node.
//!
//! A connection is closed if it is idle for too long or sends a request head too slowly, but never
//! while it carries a request. While the node stops, connections stay open until clients have had
//! time to notice, since a request may already be on its way.

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

use crate::{
    client::{
        body::ResponseBody,
        connection_bounds::{ConnectionGuard, WriteProgress},
    },
    node::Node,
    settings::NodeSettings,
    tcp,
};

/// File descriptors kept free for files and for connections to backend servers, the stores and
/// other nodes.
const RESERVED_DESCRIPTORS: u32 = 1_200;
/// Pause after a failed accept, and while no further connection is allowed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between two checks whether an idle connection should be closed.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Handles the requests of one listener.
pub trait RequestHandler: 'static {
    /// Longest time in which a peer acknowledges no byte of a response.
    const USER_TIMEOUT: Duration = tcp::USER_TIMEOUT;

    /// Handles a request and returns the response.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static;
}

/// Tracks the requests on a connection, to find out when it is idle.
#[derive(Debug)]
struct ConnectionActivity {
    in_flight: Cell<u32>,
    /// When the last request ended, or the connection was opened.
    idle_since: Cell<Instant>,
    /// When the first byte of the next request arrived; `None` until then.
    head_since: Cell<Option<Instant>>,
    write_progress: WriteProgress,
}

impl ConnectionActivity {
    fn new() -> ConnectionActivity {
        ConnectionActivity {
            in_flight: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            write_progress: WriteProgress::default(),
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

    fn on_response(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.idle_since.set(Instant::now());
    }

    /// Returns when the connection is to be closed unless something happens before; `None` while it
    /// carries a request.
    fn close_deadline(&self, node: &Node) -> Option<Instant> {
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

/// Counts a request until its response has been written or given up.
struct InFlightGuard {
    activity: Rc<ConnectionActivity>,
    node: Rc<Node>,
}

impl InFlightGuard {
    fn start(activity: Rc<ConnectionActivity>, node: Rc<Node>) -> InFlightGuard {
        activity.on_request();
        node.in_flight.set(node.in_flight.get() + 1);
        InFlightGuard { activity, node }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.activity.on_response();
        self.node.in_flight.set(self.node.in_flight.get() - 1);
    }
}

/// Returns the number of connections that the descriptors of a machine allow.
pub fn max_connections(settings: &NodeSettings) -> u32 {
    settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1)
}

/// Accepts connections until the node closes.
pub async fn serve<H: RequestHandler>(node: Rc<Node>, listener: TcpListener, handler: Rc<H>) {
    let max_connections =
        node.memory_plan.map_or(max_connections(&node.settings), |plan| plan.max_connections);
    if let Some(plan) = node.memory_plan
        && let Err(cause) = tcp::limit_buffers(&listener, plan.socket_buffer_bytes)
    {
        log::warn!(cause:% = cause; "failed to limit the buffers of connections");
    }
    loop {
        if node.connections.get() >= max_connections {
            // Further connections wait in the backlog until others have closed.
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.wait_closed() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let Some(guard) = ConnectionGuard::start(&node, peer) else { continue };
                if let Err(cause) = tcp::detect_dead_peer(&stream, H::USER_TIMEOUT) {
                    log::debug!(cause:% = cause; "failed to set options of a connection");
                }
                actix_rt::spawn(serve_connection(guard, node.clone(), stream, handler.clone()));
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "failed to accept a connection");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: RequestHandler>(
    _guard: ConnectionGuard,
    node: Rc<Node>,
    stream: TcpStream,
    handler: Rc<H>,
) {
    let activity = Rc::new(ConnectionActivity::new());
    let service = service_fn(|request: Request<Incoming>| {
        let count = InFlightGuard::start(activity.clone(), node.clone());
        let response_future = handler.clone().handle(request);
        let draining = node.draining.clone();
        async move {
            let mut response = response_future.await;
            if draining.get() {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody { body, _guard: count }))
        }
    });
    let header_bytes = node.state.borrow().routes.limits().max_header_bytes;
    let stream = MonitoredStream { stream, activity: activity.clone() };
    let mut connection = pin!(
        Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service)
    );
    loop {
        let latest = Instant::now() + MAX_CHECK_INTERVAL;
        let wake = activity.close_deadline(&node).map_or(latest, |at| at.min(latest));
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!(cause:% = cause; "incoming connection ended");
                }
                return;
            }
            () = sleep_until(wake) => {
                let due = activity.close_deadline(&node).is_some_and(|at| at <= Instant::now());
                if due && activity.head_since.get().is_some() {
                    log::debug!("client sent a request head too slowly");
                    return;
                }
                if activity.write_progress.has_stopped(&node) {
                    return;
                }
                if due || (node.closing.get() && activity.in_flight.get() == 0) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// A body that keeps its request counted until it has been written or dropped.
struct CountedBody {
    body: ResponseBody,
    _guard: InFlightGuard,
}

impl http_body::Body for CountedBody {
    type Data = bytes::Bytes;
    type Error = crate::client::body::BrokenStream;

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

/// A stream that records when bytes of a request arrive.
struct MonitoredStream {
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_bytes();
        }
        poll
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.write_progress.on_write(poll.is_ready());
        poll
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
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.write_progress.on_write(poll.is_ready());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
