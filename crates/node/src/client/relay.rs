//! Forwards a streamed response to the client, event by event.
//!
//! If the server breaks off, the stream continues at another server where the route allows it. The
//! client receives whole events only, each once and in order; a stream that cannot continue ends as
//! a broken response that the client can detect.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    traffic::{AttemptOutcome, EventSplitter, LinkFailure, NextStep, RunEnd},
};
use http::Response;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    adapter::PlatformAdapter,
    client::{
        body::{QueueBound, ResponseBody, StreamChunk},
        request_context::RequestContext,
        request_log::log_end,
        stream_origin,
    },
    clock,
    node::Node,
    server::{
        attempt::{Attempt, AttemptResult},
        checked_response::{CheckedHead, ServerStream},
        connection::ConnectionError,
        links,
        server_choice::OpenError,
        server_outcomes::{record_lost, record_timeout, record_unusable},
    },
};

/// Chunks queued for a client that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;
/// A stream fails over to another server after this multiple of the route's wanted gap between
/// events.
const STALL_TIMEOUT_FACTOR: u32 = 5;

/// How the part of a stream that came from one server ended.
enum SegmentEnd {
    /// The server sent the whole stream.
    Complete,
    /// The client closed its connection.
    ClientLeft,
    /// The request's deadline passed.
    TimedOut,
    /// The server broke off; the text says why.
    Broken(String),
    /// The server sent bytes that do not continue the stream; the text says why.
    Invalid(String),
    /// The server sent no event within the stall timeout.
    Stalled,
}

/// Returns the head of a streamed response and forwards its body in a separate task.
pub fn start<A: PlatformAdapter>(
    node: Rc<Node>,
    context: RequestContext,
    stream: ServerStream,
) -> Response<ResponseBody> {
    let (chunk_sender, queue) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let response = stream.head.client_response(ResponseBody::Stream(queue));
    let status = stream.head.status().as_u16();
    let splitter = EventSplitter::resume_after(context.info.last_event);
    let queue_bound = node.memory_plan.map(|plan| QueueBound::new(plan.max_queued_bytes));
    let timing = StreamTiming::default();
    let relay = StreamRelay { node, context, splitter, chunk_sender, queue_bound, timing };
    actix_rt::spawn(async move {
        let mut relay = relay;
        let outcome = relay.run::<A>(stream).await;
        relay.log_timing();
        log_end(&relay.context, status, outcome);
    });
    response
}

struct StreamRelay {
    node: Rc<Node>,
    context: RequestContext,
    splitter: EventSplitter,
    chunk_sender: mpsc::Sender<StreamChunk>,
    /// Missing if the machine's memory is not limited.
    queue_bound: Option<QueueBound>,
    timing: StreamTiming,
}

/// Timing of the events of one stream, for its last log line.
#[derive(Debug, Default)]
struct StreamTiming {
    last_event_at: Option<ClockTime>,
    first_event_wait: Duration,
    longest_gap: Duration,
    events: u32,
}

impl StreamTiming {
    fn on_events(&mut self, now: ClockTime, arrived: ClockTime, events: u32) {
        match self.last_event_at {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_event_wait = now.since(arrived),
        }
        self.last_event_at = Some(now);
        self.events += events;
    }
}

impl StreamRelay {
    async fn run<A: PlatformAdapter>(&mut self, mut stream: ServerStream) -> &'static str {
        loop {
            let ServerStream { head, mut body, mut attempt } = stream;
            match self.forward_events(&head, &mut body, &attempt).await {
                SegmentEnd::Complete => {
                    let (end, cause) = if head.has_explicit_end() && self.timing.events > 0 {
                        (RunEnd::Completed, "")
                    } else {
                        (RunEnd::Unanswered, "stream without events or explicit end")
                    };
                    attempt.finish_run(end, cause);
                    attempt.connection.return_to_pool(head.keep_alive());
                    let sent = self.chunk_sender.send(StreamChunk::End).await;
                    return if sent.is_ok() { "answered" } else { "caller left" };
                }
                SegmentEnd::ClientLeft => {
                    attempt.finish_run(RunEnd::Unanswered, "client left");
                    return "caller left";
                }
                SegmentEnd::TimedOut => {
                    attempt.finish_run(RunEnd::Unanswered, "deadline passed");
                    return "timed out";
                }
                SegmentEnd::Broken(cause) => {
                    attempt.finish_run(RunEnd::Broken, &cause);
                    self.log_break(&attempt, &cause);
                    record_lost(&self.node, attempt.choice.server, LinkFailure::Broken);
                }
                SegmentEnd::Invalid(cause) => {
                    attempt.finish_run(RunEnd::Unanswered, &cause);
                    self.log_break(&attempt, &cause);
                    record_unusable(&self.node, attempt.choice.server);
                }
                SegmentEnd::Stalled => {
                    attempt.finish_run(RunEnd::Unanswered, "no event within the stall timeout");
                    self.log_break(&attempt, "no event within the stall timeout");
                    let since = self.timing.last_event_at.unwrap_or(attempt.sent_at);
                    record_timeout(&self.node, attempt.choice.server, since);
                }
            }
            // Closes the connection, so that this server stops its work before another one begins.
            drop(attempt);
            drop(body);
            self.splitter.discard_partial();
            let Some(next) = self.fail_over::<A>().await else { return "broken off" };
            stream = next;
        }
    }

    /// Forwards whole events until this server's part of the stream ends.
    async fn forward_events(
        &mut self,
        head: &CheckedHead,
        body: &mut Incoming,
        attempt: &Attempt,
    ) -> SegmentEnd {
        let connection = &attempt.connection.connection;
        let mut memory = self.node.response_memory.share();
        let deadline = Instant::now() + self.context.time_left(clock::now());
        // Bytes that complete no event are no progress.
        let mut progressed_at = Instant::now();
        loop {
            let stalls_at =
                self.stall_timeout().map_or(deadline, |time| (progressed_at + time).min(deadline));
            let part = tokio::select! {
                biased;
                () = self.chunk_sender.closed() => return SegmentEnd::ClientLeft,
                part = connection.read_part(body) => part,
                () = sleep_until(stalls_at) => {
                    return if Instant::now() >= deadline { SegmentEnd::TimedOut } else { SegmentEnd::Stalled };
                }
            };
            let data = match part {
                Ok(Some(data)) => data,
                Err(ConnectionError::Invalid(cause)) => return SegmentEnd::Invalid(cause),
                Err(cause) => return SegmentEnd::Broken(cause.to_string()),
                Ok(None) => return self.end_of_body(head),
            };
            links::record_heard(
                &self.node,
                &mut self.node.state.borrow_mut(),
                attempt.choice.server,
            );
            let complete = self.splitter.push(&data);
            if complete.event_count > 0 {
                self.record_events(complete.event_count, attempt);
            }
            if !complete.bytes.is_empty() {
                tokio::select! {
                    is_sent = self.queue(Bytes::from(complete.bytes)) => {
                        if !is_sent {
                            return SegmentEnd::ClientLeft;
                        }
                    }
                    () = sleep_until(deadline) => return SegmentEnd::TimedOut,
                }
            }
            if let Some(error) = complete.error {
                return SegmentEnd::Invalid(format!("failed to continue the stream: {error:?}"));
            }
            if !memory.resize(self.splitter.pending_bytes()) {
                return SegmentEnd::Invalid("no memory for the rest of an event".to_string());
            }
            if complete.event_count > 0 {
                // The time that a slow client takes is not the server's.
                progressed_at = Instant::now();
            }
        }
    }

    /// Queues bytes for the client. Returns false if it has left.
    async fn queue(&self, bytes: Bytes) -> bool {
        let bytes = match &self.queue_bound {
            Some(bound) => tokio::select! {
                bytes = bound.admit(bytes) => bytes,
                () = self.chunk_sender.closed() => return false,
            },
            None => bytes,
        };
        self.chunk_sender.send(StreamChunk::Data(bytes)).await.is_ok()
    }

    /// Records that events have arrived; the first one shows at which software version the stream began.
    fn record_events(&mut self, count: u32, attempt: &Attempt) {
        if self.timing.events == 0 {
            stream_origin::record(&self.node, &mut self.context, attempt.software.as_deref());
        }
        self.timing.on_events(clock::now(), self.context.arrived_at, count);
    }

    /// Returns how the part of a stream ended whose body has ended.
    fn end_of_body(&self, head: &CheckedHead) -> SegmentEnd {
        if !self.splitter.is_at_boundary() {
            return SegmentEnd::Broken("stream ended within an event".to_string());
        }
        if !head.has_explicit_end() && self.splitter.last_event_id().is_none() {
            return SegmentEnd::Broken("connection ended before the first event".to_string());
        }
        SegmentEnd::Complete
    }

    /// Returns the time without events after which the stream fails over. A stream that may not be
    /// repeated waits for its server until the deadline.
    fn stall_timeout(&self) -> Option<Duration> {
        let may_retry = self.context.rule.may_rerun()
            && self.context.history.runs + 1 < self.context.rule.max_servers;
        let gap = self.context.rule.target_event_gap.filter(|_| may_retry)?;
        Some(gap * STALL_TIMEOUT_FACTOR)
    }

    /// Continues the stream at another server, if the route and the retry budget allow it.
    async fn fail_over<A: PlatformAdapter>(&mut self) -> Option<ServerStream> {
        let mut end = AttemptOutcome::Unknown;
        loop {
            let step = self.context.history.on_attempt_end(&self.context.rule, end);
            let now = clock::now();
            let bounds = &self.node.settings.bounds;
            let allowed = step == NextStep::Retry
                && !self.context.time_left(now).is_zero()
                && self.node.state.borrow_mut().take_retry(now, &self.context.service, bounds);
            if !allowed {
                return None;
            }
            let attempt = match Attempt::open(&self.node, &mut self.context).await {
                Ok(attempt) => attempt,
                Err(OpenError::Ended(ended)) => {
                    end = ended;
                    continue;
                }
                Err(refusal) => {
                    let id = &self.context.info.request_id;
                    log::info!(request = id, refusal:? = refusal; "no server to continue a stream");
                    return None;
                }
            };
            let last_event = self.splitter.last_event_id();
            let result = tokio::select! {
                biased;
                () = self.chunk_sender.closed() => return None,
                sent = attempt.send::<A>(&self.node, &self.context, last_event) => sent,
            };
            match result {
                AttemptResult::Stream(stream) => return Some(stream),
                AttemptResult::Ended(ended) => end = ended,
                AttemptResult::Failed(_) => end = AttemptOutcome::Failed,
                AttemptResult::Complete(_) => return None,
            }
        }
    }

    fn log_timing(&self) {
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            request = self.context.info.request_id, events = self.timing.events,
            first_event_ms = millis(self.timing.first_event_wait), longest_gap_ms = millis(self.timing.longest_gap);
            "stream ended"
        );
        metrics::histogram!("carobvane_first_event_seconds")
            .record(self.timing.first_event_wait.as_secs_f64());
    }

    fn log_break(&self, attempt: &Attempt, cause: &str) {
        let id = &self.context.info.request_id;
        let last_event = self.splitter.last_event_id();
        log::info!(
            request = id, server = attempt.instance, cause = cause, last_event:? = last_event;
            "stream broke off"
        );
        metrics::counter!("carobvane_broken_streams_total").increment(1);
    }
}
