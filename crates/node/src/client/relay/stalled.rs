//! Moves a stalled stream to another server, and keeps its server until that one has taken it.
//!
//! The current server may go on at any moment, so it is read while another one is looked for. Whichever
//! sends first goes on, and the connection to the other one is closed. Both work on the request for
//! [`OVERLAP_TIME`] at most.

use std::{
    future::Future,
    pin::{Pin, pin},
    time::Duration,
};

use carobvane_core::traffic::{AttemptOutcome, CompleteEvents, RunEnd};
use tokio::time::{Instant, sleep_until};

use super::{SegmentEnd, StreamRelay, output::StreamOutput, read_events};
use crate::{
    adapter::PlatformAdapter,
    clock,
    node::Node,
    server::{
        attempt::{Attempt, AttemptResult},
        checked_response::ServerStream,
        response_memory::MemoryShare,
    },
};

/// A server that has not rejected the rest of a stream within this time has taken it. The platform
/// allows two servers to work on the same stream for 400 ms.
const OVERLAP_TIME: Duration = Duration::from_millis(250);

/// How the search for another server ended.
pub enum SearchEnd {
    /// The current server went on, or the segment ended.
    Read(Result<CompleteEvents, SegmentEnd>),
    /// No other server has taken the stream; the current one is kept.
    NoServer,
}

/// What came first while the current server was read.
enum RaceEnd<T> {
    /// Events of the current server, or the end of the segment.
    Read(Result<CompleteEvents, SegmentEnd>),
    /// What it raced with.
    Other(T),
    /// The time limit.
    Elapsed,
}

impl StreamRelay {
    /// Looks for another server for a stream whose current one is silent. `current` is empty afterwards
    /// if its connection was closed.
    pub async fn search_server<A: PlatformAdapter>(
        &mut self,
        current: &mut Option<ServerStream>,
        memory: &mut MemoryShare,
        deadline: Instant,
    ) -> SearchEnd {
        let Some(stream) = current else { return SearchEnd::NoServer };
        let (service, bounds) = (&self.context.service, &self.node.settings.bounds);
        if !self.node.state.borrow_mut().has_retry(clock::now(), service, bounds) {
            return SearchEnd::NoServer;
        }
        let opened = {
            let opening = pin!(Attempt::open(&self.node, &mut self.context));
            race(&self.node, stream, &mut self.output, memory, deadline, opening).await
        };
        let attempt = match opened {
            RaceEnd::Other(Ok(attempt)) => attempt,
            RaceEnd::Other(Err(cause)) => {
                let id = &self.context.info.request_id;
                log::debug!(request = id, cause:? = cause; "no other server for a stalled stream");
                return SearchEnd::NoServer;
            }
            RaceEnd::Read(read) => return SearchEnd::Read(read),
            RaceEnd::Elapsed => return SearchEnd::Read(Err(SegmentEnd::TimedOut)),
        };
        let (service, bounds) = (&self.context.service, &self.node.settings.bounds);
        if !self.node.state.borrow_mut().take_retry(clock::now(), service, bounds) {
            return SearchEnd::NoServer;
        }
        self.race_other::<A>(current, memory, attempt).await
    }

    /// Sends the rest of the request to another server while the current one is read.
    async fn race_other<A: PlatformAdapter>(
        &mut self,
        current: &mut Option<ServerStream>,
        memory: &mut MemoryShare,
        attempt: Attempt,
    ) -> SearchEnd {
        let Some(stream) = current else { return SearchEnd::NoServer };
        let last_event = self.output.splitter.last_event_id();
        let overlap_end = Instant::now() + OVERLAP_TIME;
        let raced = {
            let mut sending = pin!(attempt.send::<A>(&self.node, &self.context, last_event));
            let other = sending.as_mut();
            let raced =
                race(&self.node, stream, &mut self.output, memory, overlap_end, other).await;
            match raced {
                RaceEnd::Other(result) => RaceEnd::Other(result),
                RaceEnd::Read(Err(end @ (SegmentEnd::Broken(_) | SegmentEnd::Invalid(_)))) => {
                    self.close_broken(current.take(), &end);
                    RaceEnd::Other(sending.await)
                }
                RaceEnd::Read(read) => RaceEnd::Read(read),
                RaceEnd::Elapsed => {
                    self.leave(current.take());
                    tokio::select! {
                        biased;
                        () = self.output.chunk_sender.closed() => RaceEnd::Read(Err(SegmentEnd::ClientLeft)),
                        result = sending => RaceEnd::Other(result),
                    }
                }
            }
        };
        match raced {
            RaceEnd::Other(result) => self.settle(current, result),
            RaceEnd::Read(read) => {
                self.record_end(AttemptOutcome::Unknown);
                SearchEnd::Read(read)
            }
            RaceEnd::Elapsed => SearchEnd::NoServer,
        }
    }

    /// Decides which server goes on after the other one has answered.
    fn settle(&mut self, current: &mut Option<ServerStream>, result: AttemptResult) -> SearchEnd {
        let outcome = match result {
            AttemptResult::Stream(next) => {
                self.leave(current.take());
                self.record_end(AttemptOutcome::Unknown);
                return SearchEnd::Read(Err(SegmentEnd::Moved(Box::new(next))));
            }
            AttemptResult::Ended(outcome) => outcome,
            AttemptResult::Failed(_) | AttemptResult::Complete(_) => AttemptOutcome::Failed,
        };
        if current.is_some() {
            self.record_end(outcome);
            return SearchEnd::NoServer;
        }
        self.record_end(AttemptOutcome::Unknown);
        SearchEnd::Read(Err(SegmentEnd::Left(outcome)))
    }

    /// Closes the connection to a silent server.
    fn leave(&self, current: Option<ServerStream>) {
        let Some(ServerStream { mut attempt, .. }) = current else { return };
        let cause = "no event within the stall timeout";
        attempt.finish_run(RunEnd::Unanswered, cause);
        self.output.log_break(&self.context.info.request_id, &attempt.instance, cause);
    }

    /// Counts an attempt that ended while the stream has another server.
    fn record_end(&mut self, outcome: AttemptOutcome) {
        // What may follow is asked only when the stream has no server left.
        let _step = self.context.history.on_attempt_end(&self.context.rule, outcome);
    }
}

/// Reads the current server until it sends events, its part of the stream ends, `other` ends or a time is
/// reached.
async fn race<T>(
    node: &Node,
    current: &mut ServerStream,
    output: &mut StreamOutput,
    memory: &mut MemoryShare,
    until: Instant,
    mut other: Pin<&mut impl Future<Output = T>>,
) -> RaceEnd<T> {
    loop {
        let read = tokio::select! {
            biased;
            () = output.chunk_sender.closed() => Err(SegmentEnd::ClientLeft),
            read = read_events(node, current, &mut output.splitter, memory) => read,
            result = &mut other => return RaceEnd::Other(result),
            () = sleep_until(until) => return RaceEnd::Elapsed,
        };
        match read {
            // Comments are no progress.
            Ok(complete) if complete.event_count == 0 && complete.error.is_none() => {
                if !output.queue(complete.bytes).await {
                    return RaceEnd::Read(Err(SegmentEnd::ClientLeft));
                }
            }
            read => return RaceEnd::Read(read),
        }
    }
}
