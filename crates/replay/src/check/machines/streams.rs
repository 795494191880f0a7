//! Checks that the caller of a stream receives every token exactly once and in order.
//!
//! One entry hedges and resumes requests at engines, whose chunks may be lost, duplicated, delayed
//! and reordered. The observer records for each delivered token its position and the attempt that
//! generated it.
//!
//! Two runs of a history can differ, because the entry iterates over its requests in the order of a
//! `HashMap`.

use std::collections::HashMap;

use carobvane_core::{
    clock::ClockTime,
    streams::{
        AttemptFault, AttemptId, AttemptStart, ChunkAction, DropReason, FailureAction,
        StreamAssembler, StreamChunk, StreamSpec,
    },
};
use rand::Rng;

use crate::check::{CheckedMachine, StepContext};

/// Node of the entry; all other nodes are engines.
const ENTRY: usize = 0;
const ENGINES: usize = 3;
/// Number of tokens in each complete response.
const RESPONSE_TOKENS: u32 = 12;
/// Time without an event after which the entry treats all attempts of a stream as failed, in
/// microseconds.
const SILENCE_TIMEOUT_MICROS: u64 = 400_000;

/// Records the tokens that each caller received, and the last violation.
#[derive(Default)]
pub struct StreamMachine {
    bug: Option<StreamBug>,
    /// The delivered tokens of each request: the number of the attempt and the position.
    delivered: HashMap<u64, Vec<(u16, u32)>>,
    violation: Option<String>,
}

/// Bugs that can be planted in the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamBug {
    /// The entry delivers chunks of attempts that lost a hedge or failed.
    DeliverLate,
    /// The entry delivers duplicate chunks.
    DeliverDuplicate,
    /// The entry delivers a chunk although tokens before it are missing.
    SkipGap,
}

/// The state of one node.
pub enum StreamNode {
    /// The entry, which loses its state in a crash.
    Entry {
        /// Requests in progress, with the time of their last event.
        streams: HashMap<u64, (Box<StreamAssembler>, ClockTime)>,
        /// Number of requests that this incarnation has received.
        next: u64,
    },
    /// An engine with the attempts that it is generating and the position of their next token.
    Engine(Vec<(AttemptId, u32)>),
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum StreamMessage {
    /// Entry to engine: generates a response from this position on.
    Generate(AttemptId, u32),
    /// Entry to engine: stops generating.
    Cancel(AttemptId),
    /// Engine to entry: the attempt, the position of the first token, the number of tokens, and
    /// whether the chunk has a finish reason.
    Chunk(AttemptId, u32, u32, bool),
    /// Engine to entry: the attempt's stream has ended.
    Done(AttemptId),
}

type Context<'a> = StepContext<'a, StreamMessage>;

impl CheckedMachine for StreamMachine {
    type Node = StreamNode;
    type Message = StreamMessage;
    type Bug = StreamBug;

    const NAME: &'static str = "streams";
    const BUGS: &'static [(&'static str, StreamBug)] = &[
        ("stream-deliver-late", StreamBug::DeliverLate),
        ("stream-deliver-duplicate", StreamBug::DeliverDuplicate),
        ("stream-skip-gap", StreamBug::SkipGap),
    ];
    const NODES: usize = 1 + ENGINES;
    const MAX_ADVANCE_MICROS: u64 = 300_000;

    fn create(bug: Option<StreamBug>) -> StreamMachine {
        StreamMachine { bug, ..StreamMachine::default() }
    }

    fn start(&mut self, context: &mut Context<'_>, _: Option<StreamNode>) -> StreamNode {
        // A crash of the entry breaks the connections to the callers, which ends their requests.
        match context.index {
            ENTRY => StreamNode::Entry { streams: HashMap::new(), next: 0 },
            _ => StreamNode::Engine(Vec::new()),
        }
    }

    fn receive(
        &mut self,
        node: &mut StreamNode,
        _: usize,
        message: StreamMessage,
        context: &mut Context<'_>,
    ) {
        match (node, message) {
            (StreamNode::Engine(running), StreamMessage::Generate(attempt, offset)) => {
                running.push((attempt, offset));
            }
            (StreamNode::Engine(running), StreamMessage::Cancel(attempt)) => {
                running.retain(|(other, _)| *other != attempt);
            }
            (
                StreamNode::Entry { streams, .. },
                StreamMessage::Chunk(attempt, offset, tokens, last),
            ) => {
                let Some((assembler, last_event)) = streams.get_mut(&attempt.request) else {
                    return;
                };
                *last_event = context.now;
                self.accept_chunk(assembler, attempt, (offset, tokens, last), context);
            }
            (StreamNode::Entry { streams, .. }, StreamMessage::Done(attempt)) => {
                let Some((assembler, _)) = streams.get_mut(&attempt.request) else { return };
                if assembler.end_attempt(attempt).is_ok() {
                    self.check_complete(attempt);
                    streams.remove(&attempt.request);
                }
            }
            _ => {}
        }
    }

    /// Fails the attempts of streams without an event for `SILENCE_TIMEOUT_MICROS`; a stream may
    /// then continue with a new attempt.
    fn tick(&mut self, node: &mut StreamNode, context: &mut Context<'_>) {
        let StreamNode::Entry { streams, .. } = node else { return };
        let now = context.now;
        streams.retain(|_, (assembler, last_event)| {
            if now.since(*last_event).as_micros() < u128::from(SILENCE_TIMEOUT_MICROS) {
                return true;
            }
            *last_event = now;
            !matches!(
                self.fail_running_attempts(assembler, context),
                FailureAction::Stop(_) | FailureAction::Complete
            )
        });
    }

    fn perform_action(&mut self, node: &mut StreamNode, context: &mut Context<'_>) {
        match node {
            StreamNode::Entry { streams, next } => {
                let hedge = streams.values_mut().find(|(assembler, _)| assembler.can_hedge());
                if let Some((assembler, _)) = hedge
                    && context.rng.random()
                {
                    send_attempt(assembler.open_attempt(), context);
                    return;
                }
                *next += 1;
                let spec = StreamSpec { weights_version: 1, cache_salt: String::new() };
                // The observer needs request numbers that no earlier incarnation has used.
                let request = *next + context.incarnation.incarnation.0 * 1_000_000;
                let mut assembler =
                    Box::new(StreamAssembler::new(context.incarnation, request, spec));
                send_attempt(assembler.open_attempt(), context);
                streams.insert(request, (assembler, context.now));
            }
            StreamNode::Engine(running) => {
                for (attempt, next) in running.iter_mut() {
                    let tokens = context.rng.random_range(1..=3).min(RESPONSE_TOKENS - *next);
                    let last = *next + tokens == RESPONSE_TOKENS;
                    context.send(ENTRY, StreamMessage::Chunk(*attempt, *next, tokens, last));
                    *next += tokens;
                    if last {
                        context.send(ENTRY, StreamMessage::Done(*attempt));
                    }
                }
                running.retain(|(_, next)| *next < RESPONSE_TOKENS);
            }
        }
    }

    fn check_invariant(&self, _: &[Option<StreamNode>], _: ClockTime) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }
}

impl StreamMachine {
    /// Handles a chunk of an attempt at the entry.
    fn accept_chunk(
        &mut self,
        assembler: &mut StreamAssembler,
        attempt: AttemptId,
        (offset, tokens, last): (u32, u32, bool),
        context: &mut Context<'_>,
    ) {
        let text = "x".repeat(tokens as usize);
        let chunk = StreamChunk { offset, tokens, text: &text, has_finish_reason: last };
        match (assembler.accept_chunk(attempt, chunk), self.bug) {
            (ChunkAction::Deliver { cancel }, _) => {
                self.record_delivery(attempt, offset, tokens);
                if let Some(loser) = cancel {
                    for engine in 1..=ENGINES {
                        context.send(engine, StreamMessage::Cancel(loser));
                    }
                }
            }
            (ChunkAction::Drop(DropReason::ClosedAttempt), Some(StreamBug::DeliverLate))
            | (ChunkAction::Drop(DropReason::Duplicate), Some(StreamBug::DeliverDuplicate))
            | (ChunkAction::Fail(AttemptFault::MissingTokens), Some(StreamBug::SkipGap)) => {
                self.record_delivery(attempt, offset, tokens);
            }
            (ChunkAction::Drop(_), _) => {}
            (ChunkAction::Fail(fault), _) => {
                if assembler.fail_attempt(attempt, fault) == FailureAction::Resume {
                    send_attempt(assembler.open_attempt(), context);
                }
            }
        }
    }

    /// Fails all running attempts of a stream, and opens a new attempt if the stream can be
    /// resumed.
    fn fail_running_attempts(
        &mut self,
        assembler: &mut StreamAssembler,
        context: &mut Context<'_>,
    ) -> FailureAction {
        let mut action = FailureAction::Wait;
        while action == FailureAction::Wait {
            let Some(attempt) = assembler.running_attempts().first().copied() else { break };
            action = assembler.fail_attempt(attempt, AttemptFault::Broken);
        }
        if action == FailureAction::Resume {
            send_attempt(assembler.open_attempt(), context);
        }
        action
    }

    /// Records tokens that the caller receives. It is a violation if a position is missing or
    /// repeated, or if a token comes from an earlier attempt than the token before.
    fn record_delivery(&mut self, attempt: AttemptId, offset: u32, tokens: u32) {
        let delivered = self.delivered.entry(attempt.request).or_default();
        for position in offset..offset + tokens {
            let (number, next) = delivered.last().map_or((0, 0), |last| (last.0, last.1 + 1));
            if position != next || (attempt.number < number && !delivered.is_empty()) {
                self.violation = Some(format!(
                    "request {} got token {position} of attempt {} after token {next} of {number}",
                    attempt.request, attempt.number
                ));
            }
            delivered.push((attempt.number, position));
        }
    }

    /// Checks that a stream that the entry reports as complete has all tokens.
    fn check_complete(&mut self, attempt: AttemptId) {
        let tokens = self.delivered.get(&attempt.request).map_or(0, Vec::len);
        if tokens != RESPONSE_TOKENS as usize {
            let request = attempt.request;
            self.violation = Some(format!("request {request} is complete with {tokens} tokens"));
        }
    }
}

/// Sends an attempt to a random engine.
fn send_attempt(start: Option<AttemptStart>, context: &mut Context<'_>) {
    if let Some(start) = start {
        let engine = context.rng.random_range(1..=ENGINES);
        context.send(engine, StreamMessage::Generate(start.id, start.resume.offset));
    }
}
