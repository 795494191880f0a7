//! Forwards a streamed response to the client, event by event.
//!
//! If the server breaks off, the stream continues at another server where the route allows it. A server
//! that sends no event for long is kept until another one has taken the stream ([`stalled`]). The
//! client receives whole events only, each once and in order; a stream that cannot continue ends as
//! a broken response that the client can detect.

mod output;
mod stalled;

use std::{rc::Rc, time::Duration};

use carobvane_core::traffic::{
    AttemptOutcome, CompleteEvents, EventError, EventSplitter, LinkFailure, NextStep, RunEnd,
};
use http::Response;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use self::output::StreamOutput;
use crate::{
    adapter::PlatformAdapter,
    client::{
        body::{QueueBound, ResponseBody},
        request_context::RequestContext,
        request_log::log_end,
        stream_origin,
    },
    clock,
    node::Node,
    server::{
        attempt::{Attempt, AttemptResult},
        checked_response::ServerStream,
        connection::ConnectionError,
        links,
        response_memory::MemoryShare,
        server_choice::OpenError,
        server_outcomes::{record_lost, record_timeout, record_unusable},
        silent_servers::SEARCH_INTERVAL,
    },
};

/// Chunks queued for a client that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;
/// A stream has stalled after this multiple of the route's wanted gap between events.
const STALL_TIMEOUT_FACTOR: u32 = 5;
/// A sound server may be silent for this long.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

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
    /// The server sent no event for long, and another one has taken the stream.
    Moved(Box<ServerStream>),
    /// The server was left for another one, whose attempt ended like this.
    Left(AttemptOutcome),
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
    let output = StreamOutput::new(splitter, chunk_sender, queue_bound);
    let relay = StreamRelay { node, context, output };
    actix_rt::spawn(async move {
        let mut relay = relay;
        let outcome = relay.run::<A>(stream).await;
        relay.output.log_timing(&relay.context.info.request_id);
        log_end(&relay.context, status, outcome);
    });
    response
}

struct StreamRelay {
    node: Rc<Node>,
    context: RequestContext,
    output: StreamOutput,
}

impl StreamRelay {
    async fn run<A: PlatformAdapter>(&mut self, mut stream: ServerStream) -> &'static str {
        loop {
            let mut current = Some(stream);
            let end = self.forward_segment::<A>(&mut current).await;
            let next = match end {
                SegmentEnd::Complete => return self.complete(current).await,
                SegmentEnd::ClientLeft => {
                    finish_run(current, RunEnd::Unanswered, "client left");
                    return "caller left";
                }
                SegmentEnd::TimedOut => {
                    finish_run(current, RunEnd::Unanswered, "deadline passed");
                    return "timed out";
                }
                SegmentEnd::Moved(next) => Some(*next),
                SegmentEnd::Left(outcome) => self.fail_over::<A>(outcome).await,
                SegmentEnd::Broken(_) | SegmentEnd::Invalid(_) => {
                    // This server stops its work before another one begins.
                    self.close_broken(current, &end);
                    self.fail_over::<A>(AttemptOutcome::Unknown).await
                }
            };
            self.output.splitter.discard_partial();
            let Some(next) = next else { return "broken off" };
            stream = next;
        }
    }

    async fn complete(&self, current: Option<ServerStream>) -> &'static str {
        if let Some(ServerStream { head, mut attempt, .. }) = current {
            let (end, cause) = if head.has_explicit_end() && self.output.timing.events > 0 {
                (RunEnd::Completed, "")
            } else {
                (RunEnd::Unanswered, "stream without events or explicit end")
            };
            attempt.finish_run(end, cause);
            attempt.connection.return_to_pool(head.keep_alive());
        }
        if self.output.end().await { "answered" } else { "caller left" }
    }

    /// Closes the connection to a server that broke off, and records that it did.
    fn close_broken(&self, current: Option<ServerStream>, end: &SegmentEnd) {
        let Some(ServerStream { mut attempt, .. }) = current else { return };
        match end {
            SegmentEnd::Broken(cause) => {
                attempt.finish_run(RunEnd::Broken, cause);
                self.output.log_break(&self.context.info.request_id, &attempt.instance, cause);
                record_lost(&self.node, attempt.choice.server, LinkFailure::Broken);
            }
            SegmentEnd::Invalid(cause) => {
                attempt.finish_run(RunEnd::Unanswered, cause);
                self.output.log_break(&self.context.info.request_id, &attempt.instance, cause);
                record_unusable(&self.node, attempt.choice.server);
            }
            _ => {}
        }
    }

    /// Forwards whole events until the current server's part of the stream ends. `current` is empty
    /// afterwards if its connection was closed meanwhile.
    async fn forward_segment<A: PlatformAdapter>(
        &mut self,
        current: &mut Option<ServerStream>,
    ) -> SegmentEnd {
        let mut memory = self.node.response_memory.share();
        let deadline = Instant::now() + self.context.time_left(clock::now());
        // Bytes that complete no event are no progress.
        let mut stalls_at = self.stall_time(deadline);
        let mut is_reported = false;
        loop {
            let Some(stream) = current else { return SegmentEnd::Left(AttemptOutcome::Unknown) };
            let read = tokio::select! {
                biased;
                () = self.output.chunk_sender.closed() => return SegmentEnd::ClientLeft,
                read = read_events(&self.node, stream, &mut self.output.splitter, &mut memory) => read,
                () = sleep_until(stalls_at) => {
                    if Instant::now() >= deadline {
                        return SegmentEnd::TimedOut;
                    }
                    if !is_reported {
                        is_reported = true;
                        self.report_stall(stream);
                    }
                    match self.search_server::<A>(current, &mut memory, deadline).await {
                        stalled::SearchEnd::Read(read) => read,
                        stalled::SearchEnd::NoServer => {
                            stalls_at = (Instant::now() + SEARCH_INTERVAL).min(deadline);
                            continue;
                        }
                    }
                }
            };
            let complete = match read {
                Ok(complete) => complete,
                Err(end) => return end,
            };
            let is_progress = complete.event_count > 0;
            if let Err(end) = self.forward_events(current.as_ref(), complete, deadline).await {
                return end;
            }
            if is_progress {
                // The time that a slow client takes is not the server's.
                stalls_at = self.stall_time(deadline);
                is_reported = false;
            }
        }
    }

    /// Queues events for the client, and records them.
    async fn forward_events(
        &mut self,
        current: Option<&ServerStream>,
        complete: CompleteEvents,
        deadline: Instant,
    ) -> Result<(), SegmentEnd> {
        if complete.event_count > 0 {
            // The first event shows at which software version the stream began.
            if self.output.timing.events == 0 {
                let software = current.and_then(|stream| stream.attempt.software.as_deref());
                stream_origin::record(&self.node, &mut self.context, software);
            }
            let arrived_at = self.context.arrived_at;
            self.output.timing.on_events(clock::now(), arrived_at, complete.event_count);
        }
        tokio::select! {
            is_sent = self.output.queue(complete.bytes) => {
                if !is_sent {
                    return Err(SegmentEnd::ClientLeft);
                }
            }
            () = sleep_until(deadline) => return Err(SegmentEnd::TimedOut),
        }
        match complete.error {
            Some(error) => {
                Err(SegmentEnd::Invalid(format!("failed to continue the stream: {error:?}")))
            }
            None => Ok(()),
        }
    }

    /// Returns when the stream counts as stalled unless an event arrives. A stream that may not be
    /// repeated waits for its server until the deadline.
    fn stall_time(&self, deadline: Instant) -> Instant {
        let may_retry = self.context.rule.may_rerun()
            && self.context.history.runs + 1 < self.context.rule.max_servers;
        let gap = self.context.rule.target_event_gap.filter(|_| may_retry);
        let timeout = gap.map(|gap| (gap * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT));
        timeout.map_or(deadline, |timeout| (Instant::now() + timeout).min(deadline))
    }

    fn report_stall(&self, stream: &ServerStream) {
        let attempt = &stream.attempt;
        log::info!(
            request = self.context.info.request_id, server = attempt.instance,
            last_event:? = self.output.splitter.last_event_id();
            "stream has stalled"
        );
        metrics::counter!("carobvane_stalled_streams_total").increment(1);
        let since = self.output.timing.last_event_at.unwrap_or(attempt.sent_at);
        record_timeout(&self.node, attempt.choice.server, since);
    }

    /// Continues the stream at another server, if the route and the retry budget allow it, after an
    /// attempt that ended with `end`.
    async fn fail_over<A: PlatformAdapter>(
        &mut self,
        mut end: AttemptOutcome,
    ) -> Option<ServerStream> {
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
            let last_event = self.output.splitter.last_event_id();
            let result = tokio::select! {
                biased;
                () = self.output.chunk_sender.closed() => return None,
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
}

fn finish_run(current: Option<ServerStream>, end: RunEnd, cause: &str) {
    if let Some(mut stream) = current {
        stream.attempt.finish_run(end, cause);
    }
}

/// Reads from a server until events or comments are complete. Nothing is lost if this is cancelled.
async fn read_events(
    node: &Node,
    stream: &mut ServerStream,
    splitter: &mut EventSplitter,
    memory: &mut MemoryShare,
) -> Result<CompleteEvents, SegmentEnd> {
    let connection = &stream.attempt.connection.connection;
    loop {
        let data = match connection.read_part(&mut stream.body).await {
            Ok(Some(data)) => data,
            Err(ConnectionError::Invalid(cause)) => return Err(SegmentEnd::Invalid(cause)),
            Err(cause) => return Err(SegmentEnd::Broken(cause.to_string())),
            Ok(None) => return Err(end_of_body(splitter, stream.head.has_explicit_end())),
        };
        links::record_heard(node, &mut node.state.borrow_mut(), stream.attempt.choice.server);
        let mut complete = splitter.push(&data);
        if !memory.resize(splitter.pending_bytes()) {
            log::info!(server = stream.attempt.instance; "no memory for the rest of an event");
            complete.error.get_or_insert(EventError::TooLong);
        }
        if complete.event_count > 0 || complete.error.is_some() || !complete.bytes.is_empty() {
            return Ok(complete);
        }
    }
}

/// Returns how the part of a stream ended whose body has ended. `is_explicit` is whether the response marks
/// its own end.
fn end_of_body(splitter: &EventSplitter, is_explicit: bool) -> SegmentEnd {
    if !splitter.is_at_boundary() {
        return SegmentEnd::Broken("stream ended within an event".to_string());
    }
    if !is_explicit && splitter.last_event_id().is_none() {
        return SegmentEnd::Broken("connection ended before the first event".to_string());
    }
    SegmentEnd::Complete
}
