//! Tests of admission control: work prediction, slot limits and the fair queue.

use std::time::Duration;

use carobvane_core::{
    admission::{
        FairQueue, QueueEntry, QueueSettings, RefusalCause, RequestFeatures, SlotLimits,
        TokenCosts, WorkPredictor,
    },
    arena::ArenaKey,
    clock::ClockTime,
    ids::{RequestKey, WorkspaceKey},
    routing::{AttemptBudget, ClassCounts, RequestClass},
};

const NOW: ClockTime = ClockTime::from_millis(1_000);

fn entry(request: u32, workspace: u32, weight: f32, wait_ms: u64) -> QueueEntry {
    QueueEntry {
        request: RequestKey::new(request, 0),
        workspace: WorkspaceKey::new(workspace, 0),
        class: RequestClass::Short,
        work_ms: 100.0,
        weight,
        start_by: NOW + Duration::from_millis(wait_ms),
    }
}

/// Guards against a burst of one workspace that delays other workspaces beyond its weight.
#[test]
fn burst_delays_only_its_own_workspace() {
    let mut queue = FairQueue::new(QueueSettings::default(), 1.0);
    for request in 0..30 {
        queue.push(NOW, entry(request, 1, 1.0, 60_000)).expect("the queue is empty");
    }
    for request in 30..36 {
        queue.push(NOW, entry(request, 2, 2.0, 60_000)).expect("the queue has room");
    }
    let first: Vec<_> =
        (0..9).filter_map(|_| queue.pop(|_| true)).map(|entry| entry.workspace).collect();
    let second = first.iter().filter(|&&owner| owner == WorkspaceKey::new(2, 0)).count();
    assert_eq!(second, 6, "weight 2 gets two of three starts: {first:?}");
}

/// Guards against requests that are queued although they cannot start in time, and against a queue
/// or a workspace's share of it that grows without limit.
#[test]
fn hopeless_requests_are_refused_at_once() {
    struct Case {
        name: &'static str,
        queued: u32,
        entry: QueueEntry,
        expected: Option<RefusalCause>,
    }
    let cases = [
        Case { name: "room", queued: 3, entry: entry(99, 1, 1.0, 1_000), expected: None },
        Case {
            name: "late",
            queued: 3,
            entry: entry(99, 1, 1.0, 200),
            expected: Some(RefusalCause::DeadlineUnreachable),
        },
        Case { name: "other", queued: 3, entry: entry(99, 2, 1.0, 200), expected: None },
        Case {
            name: "share",
            queued: 5,
            entry: entry(99, 1, 1.0, 60_000),
            expected: Some(RefusalCause::WorkspaceFull),
        },
    ];
    for case in cases {
        let settings = QueueSettings { capacity: 10, workspace_share: 0.5 };
        let mut queue = FairQueue::new(settings, 1.0);
        for request in 0..case.queued {
            queue.push(NOW, entry(request, 1, 1.0, 60_000)).expect("the share has room");
        }
        let refusal = queue.push(NOW, case.entry).err();
        assert_eq!(refusal.map(|refusal| refusal.cause), case.expected, "{}", case.name);
    }
}

/// Guards against entries that stay queued after they expired or were cancelled.
#[test]
fn expired_and_cancelled_entries_are_removed() {
    let mut queue = FairQueue::new(QueueSettings::default(), 100.0);
    for request in 0..3 {
        queue.push(NOW, entry(request, 1, 1.0, 100 + u64::from(request))).expect("room");
    }
    assert!(queue.cancel(RequestKey::new(1, 0)).is_some());
    assert!(queue.cancel(RequestKey::new(1, 0)).is_none());
    let later = NOW + Duration::from_millis(100);
    assert_eq!(queue.take_expired(later).map(|e| e.request), Some(RequestKey::new(0, 0)));
    assert_eq!(queue.take_expired(later), None);
    assert_eq!(queue.pop(|_| true).map(|e| e.request), Some(RequestKey::new(2, 0)));
    assert!(queue.is_empty() && queue.may_bypass(RequestClass::Short));
}

/// Guards against a request that is queued again after a failed attempt and expires at the deadline
/// of its first wait, whose timer is still pending.
#[test]
fn requeued_request_has_a_new_deadline() {
    let mut queue = FairQueue::new(QueueSettings::default(), 100.0);
    queue.push(NOW, entry(1, 1, 1.0, 100)).expect("room");
    assert!(queue.pop(|_| true).is_some());
    queue.push(NOW, entry(1, 1, 1.0, 500)).expect("room");
    assert_eq!(queue.take_expired(NOW + Duration::from_millis(100)), None);
    assert!(queue.take_expired(NOW + Duration::from_millis(500)).is_some());
}

/// Guards against long requests that use the slots reserved for short ones.
#[test]
fn long_requests_do_not_use_reserved_slots() {
    struct Case {
        class: RequestClass,
        own: ClassCounts,
        total: f32,
        admitted: bool,
    }
    let long = |long| ClassCounts { short: 0, long };
    let cases = [
        Case { class: RequestClass::Long, own: long(0), total: 0.0, admitted: true },
        Case { class: RequestClass::Long, own: long(9), total: 9.0, admitted: false },
        Case { class: RequestClass::Long, own: long(0), total: 12.0, admitted: false },
        Case { class: RequestClass::Short, own: long(9), total: 15.0, admitted: true },
        Case { class: RequestClass::Short, own: long(9), total: 20.0, admitted: false },
    ];
    for case in cases {
        let admitted = SlotLimits::default().admits(case.class, case.own, case.total, 16);
        assert_eq!(admitted, case.admitted, "{:?} {:?} {}", case.class, case.own, case.total);
    }
}

/// Guards against long requests that are predicted to be short although the workspace's earlier
/// answers were long.
#[test]
fn predictions_follow_the_workspace() {
    let mut predictor = WorkPredictor::new(TokenCosts::default());
    let features = |workspace| RequestFeatures {
        workspace: WorkspaceKey::new(workspace, 0),
        prompt_tokens: 4_000,
        cached_tokens: 2_000,
        max_tokens: None,
    };
    assert_eq!(predictor.predict(&features(1)).class, RequestClass::Short);
    for _ in 0..10 {
        predictor.observe(&features(1), 3_000);
        predictor.observe(&features(2), 40);
    }
    assert_eq!(predictor.predict(&features(1)).class, RequestClass::Long);
    assert_eq!(predictor.predict(&features(2)).class, RequestClass::Short);
    assert!(predictor.predict(&features(2)).decode_tokens <= 45);
}

/// Guards against retries, hedges and resumed streams that multiply the load on a failing fleet.
#[test]
fn extra_attempts_stay_within_the_budget() {
    struct Case {
        requests: u32,
        hedges: u32,
        allowed: u32,
    }
    let cases = [
        Case { requests: 20, hedges: 8, allowed: 16 },
        Case { requests: 1_000, hedges: 25, allowed: 50 },
    ];
    for case in cases {
        let mut budget = AttemptBudget::new();
        for _ in 0..case.requests {
            budget.count_request(NOW);
        }
        let mut hedges = budget.clone();
        let granted = (0..case.requests).filter(|_| hedges.try_take_hedge(NOW)).count();
        assert_eq!(granted as u32, case.hedges);
        let granted = (0..case.requests).filter(|_| budget.try_take_retry(NOW)).count();
        assert_eq!(granted as u32, case.allowed);
        let later = NOW + Duration::from_secs(10);
        assert!(budget.try_take_retry(later), "the 10 s window has passed");
    }
}
