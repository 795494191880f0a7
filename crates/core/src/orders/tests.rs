//! Tests of the order controller against lease events, server statuses and order outcomes.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::{
    clock::ClockTime,
    lists::{BackendServer, ListDocument, ModelWeights, ServerRole},
};

fn document(servers: usize, version: u64) -> ListDocument {
    let server = || BackendServer {
        address: "127.0.0.1:1".to_string(),
        role: ServerRole::Engine("m".to_string()),
        data_centre: "one".to_string(),
        checks_fencing: true,
        slots: 4,
    };
    ListDocument {
        servers: (0..servers).map(|index| (format!("s{index}"), server())).collect(),
        weights: [("m".to_string(), ModelWeights { version, ..Default::default() })].into(),
        ..ListDocument::default()
    }
}

fn status(version: u64, loading: bool) -> WeightsStatus {
    let order = EngineWeights { model: "m".to_string(), version, adapters: Default::default() };
    WeightsStatus { held: Some(order), loading }
}

fn sends(effects: &[OrderEffect]) -> Vec<&str> {
    let sends = effects.iter().filter(|effect| matches!(effect, OrderEffect::Send { .. }));
    sends.map(server_of).collect()
}

fn server_of(effect: &OrderEffect) -> &str {
    match effect {
        OrderEffect::Send { server, .. } | OrderEffect::Read { server } => server,
        OrderEffect::Acquire | OrderEffect::Renew => "",
    }
}

/// Returns a controller that holds the lease and has waited until it may send orders.
fn ready_holder(servers: usize, version: u64) -> (OrderController, ClockTime, SmallRng) {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut controller = OrderController::new(2);
    let start = ClockTime::from_millis(1_000);
    controller.set_candidate(start, true, &mut rng);
    controller.apply(start, &document(servers, version));
    controller.on_lease(start, LeaseEvent::Acquired { fencing: 5, sent_at: start }, &mut rng);
    let mut now = start;
    while now < start + PREDECESSOR_WAIT {
        controller.on_lease(now, LeaseEvent::Renewed { sent_at: now }, &mut rng);
        now = now + Duration::from_secs(1);
    }
    controller.on_lease(now, LeaseEvent::Renewed { sent_at: now }, &mut rng);
    (controller, now, rng)
}

/// Guards against a new holder that sends orders while one of the previous holder may still arrive,
/// and against more loads at once than `max_loads`.
#[test]
fn new_holder_waits_and_limits_concurrent_loads() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut waiting = OrderController::new(2);
    let start = ClockTime::from_millis(1_000);
    waiting.apply(start, &document(1, 2));
    waiting.on_lease(start, LeaseEvent::Acquired { fencing: 5, sent_at: start }, &mut rng);
    assert!(
        waiting.on_weights_status(start, start, "s0", status(1, false)).is_empty(),
        "ordered before the wait ended"
    );

    let (mut controller, now, _) = ready_holder(4, 2);
    for server in ["s0", "s1", "s2"] {
        assert!(
            controller.on_weights_status(now, now, server, status(1, false)).is_empty(),
            "ordered before s3 was read"
        );
    }
    let effects = controller.on_weights_status(now, now, "s3", status(1, true));
    assert_eq!(sends(&effects), ["s0"], "s3 is already loading");
    let effects = controller.on_weights_status(now, now, "s3", status(2, false));
    assert_eq!(sends(&effects), ["s1"]);
    assert!(
        controller.on_weights_status(now, now, "s0", status(1, false)).is_empty(),
        "the order may still arrive"
    );
    assert!(controller.on_weights_status(now, now, "s0", status(1, true)).is_empty());
    assert_eq!(sends(&controller.on_weights_status(now, now, "s0", status(2, false))), ["s2"]);
    assert_eq!(controller.outdated_servers().collect::<Vec<_>>(), ["s1", "s2"]);
}

/// Guards against orders after the lease has ended, be it during a pause of the process or because
/// another node acquired it, and against a candidate that does not try to acquire it again.
#[test]
fn ended_lease_sends_nothing() {
    struct EndCase {
        name: &'static str,
        end: fn(&mut OrderController, ClockTime, &mut SmallRng) -> ClockTime,
    }
    let cases = [
        EndCase { name: "pause", end: |_, now, _| now + LEASE_LIFETIME },
        EndCase {
            name: "pause, then a late renewal",
            end: |controller, now, rng| {
                let resumed = now + LEASE_LIFETIME;
                controller.on_lease(resumed, LeaseEvent::Renewed { sent_at: resumed }, rng);
                resumed
            },
        },
        EndCase {
            name: "stale token",
            end: |controller, now, _| {
                controller.on_order_outcome(now, "s0", OrderOutcome::StaleFencing);
                now
            },
        },
        EndCase {
            name: "lost",
            end: |controller, now, rng| {
                controller.on_lease(now, LeaseEvent::Lost, rng);
                now
            },
        },
    ];
    for case in cases {
        let (mut controller, now, mut rng) = ready_holder(1, 2);
        let now = (case.end)(&mut controller, now, &mut rng);
        let effects = controller.on_weights_status(now, now, "s0", status(1, false));
        assert!(effects.is_empty(), "{}: {effects:?}", case.name);
        let mut effects = controller.on_timer(now + Duration::from_secs(60), &mut rng);
        effects.extend(controller.on_timer(now + Duration::from_secs(61), &mut rng));
        assert!(sends(&effects).is_empty(), "{}: {effects:?}", case.name);
        assert!(
            effects.contains(&OrderEffect::Acquire),
            "{}: no new attempt to acquire the lease",
            case.name
        );
    }
}

/// Guards against an order that counts as in flight for ever when its result is lost, and against
/// one that is repeated while it may still arrive, or because of a status that was read before it.
#[test]
fn unknown_outcome_is_read_back() {
    let (mut controller, now, mut rng) = ready_holder(1, 2);
    assert_eq!(sends(&controller.on_weights_status(now, now, "s0", status(1, false))), ["s0"]);
    controller.on_order_outcome(now, "s0", OrderOutcome::Unknown);
    let effects = controller.on_timer(now + Duration::from_secs(1), &mut rng);
    assert!(effects.contains(&OrderEffect::Read { server: "s0".to_string() }));
    let later = now + ORDER_TIMEOUT + Duration::from_millis(1);
    assert!(controller.on_weights_status(later, now, "s0", status(1, false)).is_empty());
    assert_eq!(sends(&controller.on_weights_status(later, later, "s0", status(1, false))), ["s0"]);
}
