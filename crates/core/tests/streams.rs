//! Tests of `StreamAssembler`, mostly as tables of cases.

use carobvane_core::{
    ids::{IncarnationId, NodeId, NodeIncarnation},
    streams::{
        AttemptFault, AttemptId, ChunkAction, DropReason, FailureAction, MAX_ATTEMPTS,
        MAX_CHUNK_TOKENS, MAX_RESUME_TEXT_BYTES, ResumeLimit, StreamAssembler, StreamChunk,
        StreamSpec,
    },
};

const ENTRY: NodeIncarnation = NodeIncarnation { node: NodeId(1), incarnation: IncarnationId(5) };
const DELIVER: ChunkAction = ChunkAction::Deliver { cancel: None };

fn assembler() -> StreamAssembler {
    StreamAssembler::new(ENTRY, 7, StreamSpec { weights_version: 3, cache_salt: "salt".to_owned() })
}

fn chunk(offset: u32, tokens: u32, text: &str) -> StreamChunk<'_> {
    StreamChunk { offset, tokens, text, has_finish_reason: false }
}

/// Guards against delivering chunks twice, out of order or from another request.
#[test]
fn chunk_actions() {
    struct Case {
        name: &'static str,
        attempt: Option<AttemptId>,
        chunk: StreamChunk<'static>,
        action: ChunkAction,
    }
    let foreign = |request, number| Some(AttemptId { entry: ENTRY, request, number });
    let cases = [
        Case { name: "next", attempt: None, chunk: chunk(2, 1, "c"), action: DELIVER },
        Case {
            name: "last",
            attempt: None,
            chunk: StreamChunk { has_finish_reason: true, ..chunk(2, 0, "") },
            action: DELIVER,
        },
        Case {
            name: "duplicate",
            attempt: None,
            chunk: chunk(1, 1, "b"),
            action: ChunkAction::Drop(DropReason::Duplicate),
        },
        Case {
            name: "overlap",
            attempt: None,
            chunk: chunk(1, 2, "bc"),
            action: ChunkAction::Fail(AttemptFault::InvalidChunk),
        },
        Case {
            name: "gap",
            attempt: None,
            chunk: chunk(3, 1, "d"),
            action: ChunkAction::Fail(AttemptFault::MissingTokens),
        },
        Case {
            name: "finish before the delivered offset",
            attempt: None,
            chunk: StreamChunk { has_finish_reason: true, ..chunk(1, 0, "") },
            action: ChunkAction::Fail(AttemptFault::InvalidChunk),
        },
        Case {
            name: "text without tokens",
            attempt: None,
            chunk: chunk(2, 0, "c"),
            action: ChunkAction::Fail(AttemptFault::InvalidChunk),
        },
        Case {
            name: "offset overflow",
            attempt: None,
            chunk: chunk(u32::MAX, 1, "c"),
            action: ChunkAction::Fail(AttemptFault::InvalidChunk),
        },
        Case {
            name: "too many tokens",
            attempt: None,
            chunk: chunk(2, MAX_CHUNK_TOKENS + 1, "c"),
            action: ChunkAction::Fail(AttemptFault::InvalidChunk),
        },
        Case {
            name: "no content",
            attempt: None,
            chunk: chunk(2, 0, ""),
            action: ChunkAction::Drop(DropReason::Empty),
        },
        Case {
            name: "another request",
            attempt: foreign(8, 0),
            chunk: chunk(2, 1, "c"),
            action: ChunkAction::Drop(DropReason::UnknownAttempt),
        },
        Case {
            name: "an attempt that was not opened",
            attempt: foreign(7, 1),
            chunk: chunk(2, 1, "c"),
            action: ChunkAction::Drop(DropReason::UnknownAttempt),
        },
    ];
    for case in cases {
        let mut assembler = assembler();
        let id = assembler.open_attempt().expect("the first attempt is allowed").id;
        assert_eq!(assembler.accept_chunk(id, chunk(0, 2, "ab")), DELIVER);
        let action = assembler.accept_chunk(case.attempt.unwrap_or(id), case.chunk);
        assert_eq!(action, case.action, "{}", case.name);
    }
}

/// Guards against a resume that starts at another offset than the delivered one, and against
/// delivering late chunks of the previous attempt.
#[test]
fn resume_continues_at_the_delivered_offset() {
    let mut assembler = assembler();
    let first = assembler.open_attempt().expect("the first attempt is allowed").id;
    assert_eq!(assembler.accept_chunk(first, chunk(0, 2, "ab")), DELIVER);
    assert_eq!(assembler.end_attempt(first), Err(AttemptFault::Truncated));
    assert_eq!(assembler.fail_attempt(first, AttemptFault::Truncated), FailureAction::Resume);
    let second = assembler.open_attempt().expect("a resume is allowed");
    assert_eq!((second.resume.offset, second.resume.text.as_str()), (2, "ab"));
    assert_eq!((second.resume.weights_version, second.resume.cache_salt.as_str()), (3, "salt"));
    let late = ChunkAction::Drop(DropReason::ClosedAttempt);
    assert_eq!(assembler.accept_chunk(first, chunk(2, 1, "x")), late);
    let last = StreamChunk { has_finish_reason: true, ..chunk(2, 1, "c") };
    assert_eq!(assembler.accept_chunk(second.id, last), DELIVER);
    assert_eq!(assembler.accept_chunk(second.id, chunk(3, 1, "d")), late);
    assert_eq!(assembler.end_attempt(first), Err(AttemptFault::Truncated));
    assert_eq!(assembler.end_attempt(second.id), Ok(()));
    assert_eq!(assembler.fail_attempt(second.id, AttemptFault::Broken), FailureAction::Complete);
}

/// Guards against mixing the output of two attempts in one answer.
#[test]
fn first_hedge_with_content_wins() {
    let mut assembler = assembler();
    let first = assembler.open_attempt().expect("the first attempt is allowed").id;
    let hedge = assembler.open_attempt().expect("a hedge is allowed").id;
    assert_eq!(assembler.open_attempt(), None);
    let empty = ChunkAction::Drop(DropReason::Empty);
    assert_eq!(assembler.accept_chunk(first, chunk(0, 0, "")), empty);
    let wins = ChunkAction::Deliver { cancel: Some(first) };
    assert_eq!(assembler.accept_chunk(hedge, chunk(0, 1, "h")), wins);
    let late = ChunkAction::Drop(DropReason::ClosedAttempt);
    assert_eq!(assembler.accept_chunk(first, chunk(0, 1, "f")), late);
    assert_eq!(assembler.accept_chunk(first, chunk(1, 1, "f")), late);
    assert!(!assembler.can_hedge());
    assert_eq!(assembler.open_attempt(), None);
}

/// Guards against a failed hedge that ends the stream, and against an unlimited number of attempts.
#[test]
fn attempts_are_bounded() {
    let mut assembler = assembler();
    let first = assembler.open_attempt().expect("the first attempt is allowed").id;
    let hedge = assembler.open_attempt().expect("a hedge is allowed").id;
    assert_eq!(assembler.fail_attempt(hedge, AttemptFault::NotRun), FailureAction::Wait);
    assert_eq!(assembler.fail_attempt(first, AttemptFault::NotRun), FailureAction::Resume);
    for number in 2..MAX_ATTEMPTS {
        let id = assembler.open_attempt().expect("a further attempt is allowed").id;
        let step = assembler.fail_attempt(id, AttemptFault::NotRun);
        match step {
            FailureAction::Stop(error) => {
                assert_eq!((number, error.limit), (MAX_ATTEMPTS - 1, ResumeLimit::Attempts));
                assert!(!error.may_have_run);
            }
            step => assert_eq!((step, number < MAX_ATTEMPTS - 1), (FailureAction::Resume, true)),
        }
    }
    assert_eq!(assembler.open_attempt(), None);
}

/// Guards against unbounded memory use by long streams, and against a resume from incomplete text.
#[test]
fn long_stream_is_not_resumed() {
    let mut assembler = assembler();
    let id = assembler.open_attempt().expect("the first attempt is allowed").id;
    let text = "x".repeat(MAX_RESUME_TEXT_BYTES);
    assert_eq!(assembler.accept_chunk(id, chunk(0, 1, &text)), DELIVER);
    assert_eq!(assembler.accept_chunk(id, chunk(1, 1, "y")), DELIVER);
    let FailureAction::Stop(error) = assembler.fail_attempt(id, AttemptFault::Broken) else {
        panic!("the stream is resumed");
    };
    assert_eq!((error.limit, error.delivered), (ResumeLimit::ResumeText, 2));
    assert!(error.may_have_run);
}

/// Guards against attempt ids that change when they are formatted and parsed.
#[test]
fn attempt_id_text() {
    let id = AttemptId { entry: ENTRY, request: 7, number: 2 };
    assert_eq!(id.to_string().parse(), Ok(id));
    for text in ["", "1-5-7", "1-5-7-2-3", "1-5-7-x"] {
        assert!(text.parse::<AttemptId>().is_err(), "{text:?}");
    }
}
