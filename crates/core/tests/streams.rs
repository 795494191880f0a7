//! Tables over `StreamAssembler`.

use carobvane_core::{
    ids::{IncarnationId, NodeId, NodeIncarnation},
    streams::{
        AttemptFault, AttemptId, ChunkVerdict, DropCause, MAX_ATTEMPTS, MAX_CHUNK_TOKENS,
        MAX_RESUME_TEXT_BYTES, NextStep, StreamAssembler, StreamChunk, StreamLimit, StreamSpec,
    },
};

const LIFE: NodeIncarnation = NodeIncarnation { node: NodeId(1), incarnation: IncarnationId(5) };
const DELIVER: ChunkVerdict = ChunkVerdict::Deliver { cancel: None };

fn assembler() -> StreamAssembler {
    StreamAssembler::new(LIFE, 7, StreamSpec { weights_version: 3, cache_salt: "salt".to_owned() })
}

fn chunk(offset: u32, tokens: u32, text: &str) -> StreamChunk<'_> {
    StreamChunk { offset, tokens, text, finishes: false }
}

/// Guards against chunks that reach the caller twice, out of order, or from another request.
#[test]
fn chunk_verdicts() {
    struct Case {
        name: &'static str,
        attempt: Option<AttemptId>,
        chunk: StreamChunk<'static>,
        verdict: ChunkVerdict,
    }
    let foreign = |request, number| Some(AttemptId { life: LIFE, request, number });
    let cases = [
        Case { name: "next", attempt: None, chunk: chunk(2, 1, "c"), verdict: DELIVER },
        Case {
            name: "last",
            attempt: None,
            chunk: StreamChunk { finishes: true, ..chunk(2, 0, "") },
            verdict: DELIVER,
        },
        Case {
            name: "duplicate",
            attempt: None,
            chunk: chunk(1, 1, "b"),
            verdict: ChunkVerdict::Drop(DropCause::Duplicate),
        },
        Case {
            name: "overlap",
            attempt: None,
            chunk: chunk(1, 2, "bc"),
            verdict: ChunkVerdict::Fail(AttemptFault::Garbage),
        },
        Case {
            name: "gap",
            attempt: None,
            chunk: chunk(3, 1, "d"),
            verdict: ChunkVerdict::Fail(AttemptFault::Gap),
        },
        Case {
            name: "finish before the delivered offset",
            attempt: None,
            chunk: StreamChunk { finishes: true, ..chunk(1, 0, "") },
            verdict: ChunkVerdict::Fail(AttemptFault::Garbage),
        },
        Case {
            name: "text without tokens",
            attempt: None,
            chunk: chunk(2, 0, "c"),
            verdict: ChunkVerdict::Fail(AttemptFault::Garbage),
        },
        Case {
            name: "offset overflow",
            attempt: None,
            chunk: chunk(u32::MAX, 1, "c"),
            verdict: ChunkVerdict::Fail(AttemptFault::Garbage),
        },
        Case {
            name: "too many tokens",
            attempt: None,
            chunk: chunk(2, MAX_CHUNK_TOKENS + 1, "c"),
            verdict: ChunkVerdict::Fail(AttemptFault::Garbage),
        },
        Case {
            name: "no content",
            attempt: None,
            chunk: chunk(2, 0, ""),
            verdict: ChunkVerdict::Drop(DropCause::Empty),
        },
        Case {
            name: "another request",
            attempt: foreign(8, 0),
            chunk: chunk(2, 1, "c"),
            verdict: ChunkVerdict::Drop(DropCause::Foreign),
        },
        Case {
            name: "an attempt that was not opened",
            attempt: foreign(7, 1),
            chunk: chunk(2, 1, "c"),
            verdict: ChunkVerdict::Drop(DropCause::Foreign),
        },
    ];
    for case in cases {
        let mut assembler = assembler();
        let id = assembler.open().expect("the first attempt is allowed").id;
        assert_eq!(assembler.accept(id, chunk(0, 2, "ab")), DELIVER);
        let verdict = assembler.accept(case.attempt.unwrap_or(id), case.chunk);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// Guards against a resume elsewhere than at the delivered offset, and against late chunks of the
/// attempt before it.
#[test]
fn resume_continues_at_the_delivered_offset() {
    let mut assembler = assembler();
    let first = assembler.open().expect("the first attempt is allowed").id;
    assert_eq!(assembler.accept(first, chunk(0, 2, "ab")), DELIVER);
    assert_eq!(assembler.end(first), Err(AttemptFault::Short));
    assert_eq!(assembler.fail(first, AttemptFault::Short), NextStep::Resume);
    let second = assembler.open().expect("a resume is allowed");
    assert_eq!((second.resume.offset, second.resume.text.as_str()), (2, "ab"));
    assert_eq!((second.resume.weights_version, second.resume.cache_salt.as_str()), (3, "salt"));
    let late = ChunkVerdict::Drop(DropCause::Late);
    assert_eq!(assembler.accept(first, chunk(2, 1, "x")), late);
    let last = StreamChunk { finishes: true, ..chunk(2, 1, "c") };
    assert_eq!(assembler.accept(second.id, last), DELIVER);
    assert_eq!(assembler.accept(second.id, chunk(3, 1, "d")), late);
    assert_eq!(assembler.end(first), Err(AttemptFault::Short));
    assert_eq!(assembler.end(second.id), Ok(()));
    assert_eq!(assembler.fail(second.id, AttemptFault::Broken), NextStep::Complete);
}

/// Guards against bytes of two attempts in one answer.
#[test]
fn first_hedge_with_content_wins() {
    let mut assembler = assembler();
    let first = assembler.open().expect("the first attempt is allowed").id;
    let hedge = assembler.open().expect("a hedge is allowed").id;
    assert_eq!(assembler.open(), None);
    let empty = ChunkVerdict::Drop(DropCause::Empty);
    assert_eq!(assembler.accept(first, chunk(0, 0, "")), empty);
    let wins = ChunkVerdict::Deliver { cancel: Some(first) };
    assert_eq!(assembler.accept(hedge, chunk(0, 1, "h")), wins);
    let late = ChunkVerdict::Drop(DropCause::Late);
    assert_eq!(assembler.accept(first, chunk(0, 1, "f")), late);
    assert_eq!(assembler.accept(first, chunk(1, 1, "f")), late);
    assert!(!assembler.may_hedge());
    assert_eq!(assembler.open(), None);
}

/// Guards against a failed hedge that ends the stream, and against endless attempts.
#[test]
fn attempts_are_bounded() {
    let mut assembler = assembler();
    let first = assembler.open().expect("the first attempt is allowed").id;
    let hedge = assembler.open().expect("a hedge is allowed").id;
    assert_eq!(assembler.fail(hedge, AttemptFault::NotRun), NextStep::Wait);
    assert_eq!(assembler.fail(first, AttemptFault::NotRun), NextStep::Resume);
    for number in 2..MAX_ATTEMPTS {
        let id = assembler.open().expect("a further attempt is allowed").id;
        let step = assembler.fail(id, AttemptFault::NotRun);
        match step {
            NextStep::Stop(error) => {
                assert_eq!((number, error.limit), (MAX_ATTEMPTS - 1, StreamLimit::Attempts));
                assert!(!error.may_have_run);
            }
            step => assert_eq!((step, number < MAX_ATTEMPTS - 1), (NextStep::Resume, true)),
        }
    }
    assert_eq!(assembler.open(), None);
}

/// Guards against unbounded memory of long streams, and against a resume with a part of the text.
#[test]
fn long_stream_is_not_resumed() {
    let mut assembler = assembler();
    let id = assembler.open().expect("the first attempt is allowed").id;
    let text = "x".repeat(MAX_RESUME_TEXT_BYTES);
    assert_eq!(assembler.accept(id, chunk(0, 1, &text)), DELIVER);
    assert_eq!(assembler.accept(id, chunk(1, 1, "y")), DELIVER);
    let NextStep::Stop(error) = assembler.fail(id, AttemptFault::Broken) else {
        panic!("the stream is resumed");
    };
    assert_eq!((error.limit, error.delivered), (StreamLimit::ResumeText, 2));
    assert!(error.may_have_run);
}

/// Guards against names that do not survive the way to the engine and back.
#[test]
fn attempt_id_text() {
    let id = AttemptId { life: LIFE, request: 7, number: 2 };
    assert_eq!(id.to_string().parse(), Ok(id));
    for text in ["", "1-5-7", "1-5-7-2-3", "1-5-7-x"] {
        assert!(text.parse::<AttemptId>().is_err(), "{text:?}");
    }
}
