//! Retry budgets, retries after failed attempts and event streams.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{
        AttemptHistory, AttemptOutcome, BudgetShare, EventError, EventSplitter, NextStep,
        RequestFailure, RetryBudget, RouteKind, RouteRule, RouteTarget,
    },
};

const WINDOW: Duration = Duration::from_secs(10);

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

/// Guards against nodes that restart together and spend their part of the slack again in the same
/// window, as they have forgotten the retries before.
#[test]
fn restarted_nodes_stay_within_the_budget_of_the_fleet() {
    struct Case {
        nodes: usize,
        requests_per_node: u64,
    }
    let cases = [
        Case { nodes: 9, requests_per_node: 0 },
        Case { nodes: 9, requests_per_node: 20 },
        Case { nodes: 86, requests_per_node: 10 },
    ];
    let (ratio, slack) = (0.2, 58.0);
    for case in cases {
        let mut sent = 0;
        // All nodes stop after 9 s and have read the list of nodes again at 9.5 s.
        for (at, slack_from) in [(9_000, ClockTime::ZERO), (10_000, millis(9_500) + WINDOW)] {
            let slack_from = Some(slack_from);
            let share = BudgetShare { ratio, slack, window: WINDOW, nodes: case.nodes, slack_from };
            for _ in 0..case.nodes {
                let mut budget = RetryBudget::default();
                for _ in 0..case.requests_per_node {
                    budget.on_request(millis(at - 500), &share);
                }
                while budget.try_spend(millis(at), &share) {
                    sent += 1;
                }
            }
        }
        let requests = (2 * case.requests_per_node * case.nodes as u64) as f64;
        let allowed = ratio * requests + slack;
        assert!(f64::from(sent) <= allowed, "{} nodes: {sent} of {allowed}", case.nodes);
    }
}

/// Guards against nodes that together retry more than the budget of the fleet allows in a window.
#[test]
fn shares_of_all_nodes_stay_within_the_budget_of_the_fleet() {
    struct Case {
        nodes: usize,
        requests_per_node: u64,
        ratio: f64,
        slack: f64,
    }
    let cases = [
        Case { nodes: 9, requests_per_node: 0, ratio: 0.2, slack: 58.0 },
        Case { nodes: 9, requests_per_node: 200, ratio: 0.2, slack: 58.0 },
        Case { nodes: 86, requests_per_node: 70, ratio: 0.2, slack: 212.0 },
        Case { nodes: 1, requests_per_node: 500, ratio: 0.2, slack: 58.0 },
    ];
    for case in cases {
        let share = BudgetShare {
            ratio: case.ratio,
            slack: case.slack,
            window: WINDOW,
            nodes: case.nodes,
            slack_from: Some(ClockTime::ZERO),
        };
        let mut sent = 0;
        for _ in 0..case.nodes {
            let mut budget = RetryBudget::default();
            for request in 0..case.requests_per_node {
                budget.on_request(millis(request * 9_000 / case.requests_per_node), &share);
            }
            while budget.try_spend(millis(9_000), &share) {
                sent += 1;
            }
        }
        let requests = (case.requests_per_node * case.nodes as u64) as f64;
        let allowed = case.ratio * requests + case.slack;
        assert!(f64::from(sent) <= allowed, "{} nodes sent {sent} of {allowed}", case.nodes);
    }
}

/// Guards against a budget that is available again before its window has passed.
#[test]
fn a_spent_budget_is_available_again_after_the_window() {
    struct Case {
        after_ms: u64,
        allowed: bool,
    }
    let cases = [
        Case { after_ms: 0, allowed: false },
        Case { after_ms: 5_000, allowed: false },
        Case { after_ms: 10_000, allowed: false },
        Case { after_ms: 10_600, allowed: true },
    ];
    let slack_from = Some(ClockTime::ZERO);
    let share = BudgetShare { ratio: 0.2, slack: 18.0, window: WINDOW, nodes: 9, slack_from };
    for case in cases {
        let mut budget = RetryBudget::default();
        let start = millis(50_000);
        while budget.try_spend(start, &share) {}
        let allowed = budget.try_spend(start + Duration::from_millis(case.after_ms), &share);
        assert_eq!(allowed, case.allowed, "after {} ms", case.after_ms);
    }
}

fn rule(kind: RouteKind, resumable: bool, max_servers: u32) -> RouteRule {
    RouteRule {
        name: "route".to_string(),
        host: "host.example".to_string(),
        prefix: "/".to_string(),
        targets: vec![RouteTarget { service: "service".to_string(), weight: 1.0 }],
        kind,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(800),
        max_servers,
        priority: 0,
        public: false,
        resumable,
        target_event_gap: None,
    }
}

/// Guards against a non-idempotent request, such as a booking, that runs twice, and against telling
/// a client that a request did not run although it may have.
#[test]
fn only_requests_that_did_not_run_or_may_rerun_are_retried() {
    use AttemptOutcome::{Failed, NotSent, Rejected, Unknown};
    let not_run = NextStep::Fail(RequestFailure::NotRun);
    let unknown = NextStep::Fail(RequestFailure::Unknown);
    struct Case {
        kind: RouteKind,
        resumable: bool,
        max_servers: u32,
        outcomes: &'static [AttemptOutcome],
        last: NextStep,
    }
    let case = |kind, resumable, max_servers, outcomes, last| Case {
        kind,
        resumable,
        max_servers,
        outcomes,
        last,
    };
    let cases = [
        case(RouteKind::NonIdempotent, false, 2, &[NotSent], NextStep::Retry),
        case(RouteKind::NonIdempotent, false, 2, &[Rejected], NextStep::Retry),
        case(RouteKind::NonIdempotent, false, 2, &[Unknown], unknown),
        case(RouteKind::NonIdempotent, false, 2, &[Rejected, Unknown], unknown),
        case(RouteKind::NonIdempotent, false, 2, &[Failed], NextStep::ForwardError),
        case(RouteKind::NonIdempotent, false, 2, &[Rejected; 4], not_run),
        case(RouteKind::Idempotent, false, 2, &[Unknown], NextStep::Retry),
        case(RouteKind::Idempotent, false, 2, &[Unknown, Failed], NextStep::ForwardError),
        case(RouteKind::Idempotent, false, 2, &[Unknown, Unknown], unknown),
        case(RouteKind::Idempotent, false, 1, &[Failed], NextStep::ForwardError),
        case(RouteKind::Streaming, true, 2, &[Unknown], NextStep::Retry),
        case(RouteKind::Streaming, false, 2, &[Unknown], unknown),
        case(RouteKind::Streaming, false, 2, &[NotSent; 6], not_run),
    ];
    for case in cases {
        let rule = rule(case.kind, case.resumable, case.max_servers);
        let mut history = AttemptHistory::default();
        let steps: Vec<NextStep> =
            case.outcomes.iter().map(|outcome| history.on_attempt_end(&rule, *outcome)).collect();
        assert_eq!(steps.last(), Some(&case.last), "{:?} {:?}", case.kind, case.outcomes);
        let (_, before) = steps.split_last().expect("each case has an outcome");
        assert!(before.iter().all(|step| *step == NextStep::Retry), "{:?}", case.outcomes);
    }
}

/// Guards against a stream from two servers that is joined within an event, that repeats or reorders
/// events, holds bytes which are no event, or lacks the events that came with such bytes.
#[test]
fn only_complete_events_in_order_are_forwarded() {
    struct Case {
        after: Option<u64>,
        chunks: &'static [&'static str],
        forwarded: &'static str,
        error: Option<EventError>,
        last_event_id: Option<u64>,
        at_boundary: bool,
    }
    let cases = [
        Case {
            after: None,
            chunks: &["id: 1\nda", "ta: a\n", "\nid: 2\ndata: b\n\n"],
            forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            error: None,
            last_event_id: Some(2),
            at_boundary: true,
        },
        Case {
            after: None,
            chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
            forwarded: "id: 1\ndata: a\n\n",
            error: None,
            last_event_id: Some(1),
            at_boundary: false,
        },
        Case {
            after: None,
            chunks: &["id: 1\r\ndata: a\r\n\r\n"],
            forwarded: "id: 1\r\ndata: a\r\n\r\n",
            error: None,
            last_event_id: Some(1),
            at_boundary: true,
        },
        Case {
            after: Some(4),
            chunks: &["note: 3\nid: 5\ndata: e\n\n"],
            forwarded: "note: 3\nid: 5\ndata: e\n\n",
            error: None,
            last_event_id: Some(5),
            at_boundary: true,
        },
        Case {
            after: Some(4),
            chunks: &["id: 4\ndata: again\n\n"],
            forwarded: "",
            error: Some(EventError::OutOfOrder),
            last_event_id: Some(4),
            at_boundary: false,
        },
        Case {
            after: None,
            chunks: &["id: 1\ndata: a\n\n: alive\n\n\nid: 2\ndata: b\n\n"],
            forwarded: "id: 1\ndata: a\n\n: alive\n\n\nid: 2\ndata: b\n\n",
            error: None,
            last_event_id: Some(2),
            at_boundary: true,
        },
        Case {
            after: Some(1),
            chunks: &["HTTP/1.1 503 Busy\r\nRequest-Id: r\r\nRetry-After: 1\r\n\r\n"],
            forwarded: "",
            error: Some(EventError::NoId),
            last_event_id: Some(1),
            at_boundary: false,
        },
        Case {
            after: Some(1),
            chunks: &["data: a\n\n"],
            forwarded: "",
            error: Some(EventError::NoId),
            last_event_id: Some(1),
            at_boundary: false,
        },
        Case {
            after: None,
            chunks: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n"],
            forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            error: Some(EventError::OutOfOrder),
            last_event_id: Some(2),
            at_boundary: false,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::resume_after(case.after);
        let mut forwarded = Vec::new();
        let mut error = None;
        for chunk in case.chunks {
            assert_eq!(error, None, "{:?}: bytes after an error", case.chunks);
            let complete = splitter.push(chunk.as_bytes());
            forwarded.extend(complete.bytes);
            error = complete.error;
        }
        assert_eq!(forwarded, case.forwarded.as_bytes(), "{:?}", case.chunks);
        assert_eq!(error, case.error, "{:?}", case.chunks);
        assert_eq!(splitter.last_event_id(), case.last_event_id, "{:?}", case.chunks);
        assert_eq!(splitter.is_at_boundary(), case.at_boundary, "{:?}", case.chunks);
    }
}

/// Guards against a server that sends bytes without an event in small pieces, each of which makes the
/// splitter search all earlier ones again. A quadratic search does not end within minutes.
#[test]
fn endless_event_is_an_error_after_one_search() {
    for piece in ["x", "x\n", "data: x\r\n"] {
        let mut splitter = EventSplitter::default();
        let error = loop {
            let complete = splitter.push(piece.as_bytes());
            assert_eq!(complete.event_count, 0, "{piece:?}");
            if let Some(error) = complete.error {
                break error;
            }
        };
        assert_eq!(error, EventError::TooLong, "{piece:?}");
    }
}
