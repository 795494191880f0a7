//! Passes a stream on to its caller, event by event.
//!
//! A stream whose server breaks off continues at another server where its route allows it. The
//! caller sees whole events only, each once and in order, or a visibly broken answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    traffic::{AttemptOutcome, EventSplitter, NextStep},
};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    attempt::{Attempt, AttemptResult, note_crash, on_silent, on_timeout},
    body::{AnswerBody, StreamPiece},
    clock,
    headers::{caller_answer, keep_time},
    node::Node,
    request::{RequestJob, log_end},
    wire::NodeWire,
};

/// Pieces that wait for a slow caller.
const QUEUED_PIECES: usize = 16;
/// Multiple of the wanted pause between events after which a stream moves to another server.
const STALL_FACTOR: u32 = 5;

/// How one server's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// Time is over.
    TimedOut,
    /// The server broke off, with the reason.
    Broken(String),
    /// The server fell silent.
    Stalled,
}

/// Answers with a stream and passes it on in a task of its own.
pub fn start<W: NodeWire>(
    node: Rc<Node>,
    job: RequestJob,
    response: Response<Incoming>,
    attempt: Attempt,
) -> Response<AnswerBody> {
    let (pieces, queue) = mpsc::channel(QUEUED_PIECES);
    let (head, body) = response.into_parts();
    let answer = caller_answer(head.status, &head.headers, AnswerBody::Stream(queue));
    let status = head.status.as_u16();
    let splitter = EventSplitter::resume_after(job.call.last_event);
    let relay = StreamRelay { node, job, splitter, pieces, pace: StreamPace::default() };
    let keep = keep_time(&head.headers);
    actix_rt::spawn(async move {
        let mut relay = relay;
        let outcome = relay.run::<W>(body, attempt, keep).await;
        relay.log_pace();
        log_end(&relay.job, status, outcome);
    });
    answer
}

struct StreamRelay {
    node: Rc<Node>,
    job: RequestJob,
    splitter: EventSplitter,
    pieces: mpsc::Sender<StreamPiece>,
    pace: StreamPace,
}

/// When the events of a stream came.
#[derive(Debug, Default)]
struct StreamPace {
    last_at: Option<ClockTime>,
    first_wait: Duration,
    longest_gap: Duration,
    events: u32,
}

impl StreamPace {
    fn on_events(&mut self, now: ClockTime, arrived: ClockTime, events: u32) {
        match self.last_at {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_wait = now.since(arrived),
        }
        self.last_at = Some(now);
        self.events += events;
    }
}

impl StreamRelay {
    async fn run<W: NodeWire>(
        &mut self,
        mut body: Incoming,
        mut attempt: Attempt,
        mut keep: Option<Duration>,
    ) -> &'static str {
        loop {
            match self.pass_on(&mut body).await {
                PartEnd::Complete => {
                    attempt.channel.keep(keep);
                    let sent = self.pieces.send(StreamPiece::End).await;
                    return if sent.is_ok() { "answered" } else { "caller left" };
                }
                PartEnd::CallerLeft => return "caller left",
                PartEnd::TimedOut => return "timed out",
                PartEnd::Broken(cause) => {
                    self.log_break(&attempt, &cause);
                    on_silent(&self.node, attempt.choice.server);
                    note_crash(&self.node, &self.job, attempt.choice.server);
                }
                PartEnd::Stalled => {
                    self.log_break(&attempt, "no event in time");
                    let since = self.pace.last_at.unwrap_or(attempt.sent_at);
                    on_timeout(&self.node, attempt.choice.server, since);
                }
            }
            // Closes the connection, so that the server's work ends before another one's begins.
            drop(attempt);
            drop(body);
            self.splitter.discard_partial();
            let Some((response, next)) = self.move_on::<W>().await else { return "broken off" };
            keep = keep_time(response.headers());
            body = response.into_body();
            attempt = next;
        }
    }

    /// Passes whole events on until this server's part ends.
    async fn pass_on(&mut self, body: &mut Incoming) -> PartEnd {
        let ends = Instant::now() + self.job.time_left(clock::now());
        loop {
            let stalled = self.stall_time().map_or(ends, |time| (Instant::now() + time).min(ends));
            let frame = tokio::select! {
                biased;
                () = self.pieces.closed() => return PartEnd::CallerLeft,
                frame = body.frame() => frame,
                () = sleep_until(stalled) => {
                    return if Instant::now() >= ends { PartEnd::TimedOut } else { PartEnd::Stalled };
                }
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(cause)) => return PartEnd::Broken(cause.to_string()),
                None if self.splitter.is_at_boundary() => return PartEnd::Complete,
                None => return PartEnd::Broken("ended within an event".to_string()),
            };
            let cut = match self.splitter.push(&data) {
                Ok(cut) => cut,
                Err(cause) => return PartEnd::Broken(format!("no continuation: {cause:?}")),
            };
            if cut.bytes.is_empty() {
                continue;
            }
            self.pace.on_events(clock::now(), self.job.arrived, cut.event_count);
            let piece = StreamPiece::Data(Bytes::from(cut.bytes));
            tokio::select! {
                sent = self.pieces.send(piece) => {
                    if sent.is_err() {
                        return PartEnd::CallerLeft;
                    }
                }
                () = sleep_until(ends) => return PartEnd::TimedOut,
            }
        }
    }

    /// A stream that may not move waits for its server until its time is over.
    fn stall_time(&self) -> Option<Duration> {
        let may_move =
            self.job.rule.may_rerun() && self.job.history.runs + 1 < self.job.rule.max_servers;
        let gap = self.job.rule.target_event_gap.filter(|_| may_move)?;
        Some(gap * STALL_FACTOR)
    }

    /// Continues the stream at another server, if that is allowed.
    async fn move_on<W: NodeWire>(&mut self) -> Option<(Response<Incoming>, Attempt)> {
        let mut end = AttemptOutcome::Unknown;
        loop {
            let step = self.job.history.on_attempt_end(&self.job.rule, end);
            let now = clock::now();
            let bounds = &self.node.settings.bounds;
            let allowed = step == NextStep::Retry
                && !self.job.time_left(now).is_zero()
                && self.node.state.borrow_mut().take_repeat(now, &self.job.service, bounds);
            if !allowed {
                return None;
            }
            let attempt = match Attempt::open(&self.node, &mut self.job).await {
                Ok(attempt) => attempt,
                Err(Ok(ended)) => {
                    end = ended;
                    continue;
                }
                Err(Err(refusal)) => {
                    let id = &self.job.call.request_id;
                    log::info!(request = id, refusal:? = refusal; "no server to continue a stream");
                    return None;
                }
            };
            let last_event = self.splitter.last_event_id();
            let left = tokio::select! {
                biased;
                () = self.pieces.closed() => return None,
                result = attempt.send::<W>(&self.node, &self.job, last_event) => result,
            };
            match left {
                AttemptResult::Stream(response, attempt) => return Some((response, *attempt)),
                AttemptResult::Ended(ended) => end = ended,
                AttemptResult::Failed(_) => end = AttemptOutcome::Failed,
                AttemptResult::Whole(_) => return None,
            }
        }
    }

    fn log_pace(&self) {
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            request = self.job.call.request_id, events = self.pace.events,
            first_event_ms = millis(self.pace.first_wait), longest_gap_ms = millis(self.pace.longest_gap);
            "stream ended"
        );
        metrics::histogram!("carobvane_first_event_seconds")
            .record(self.pace.first_wait.as_secs_f64());
    }

    fn log_break(&self, attempt: &Attempt, cause: &str) {
        let id = &self.job.call.request_id;
        let last_event = self.splitter.last_event_id();
        log::info!(
            request = id, server = attempt.instance, cause = cause, last_event:? = last_event;
            "stream broke off"
        );
        metrics::counter!("carobvane_broken_streams_total").increment(1);
    }
}
