//! Tables of lease events, readings and orders.

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

fn reading(version: u64, loading: bool) -> ServerReading {
    let order = HoldOrder { model: "m".to_string(), version, adapters: Default::default() };
    ServerReading { held: Some(order), loading }
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

/// A machine that holds the lease and may order.
fn holder(servers: usize, version: u64) -> (OrderMachine, ClockTime, SmallRng) {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut machine = OrderMachine::new(2);
    let start = ClockTime::from_millis(1_000);
    machine.set_candidate(start, true, &mut rng);
    machine.apply(start, &document(servers, version));
    machine.on_lease(start, LeaseEvent::Acquired { fencing: 5, sent_at: start }, &mut rng);
    let mut now = start;
    while now < start + PREDECESSOR_WAIT {
        machine.on_lease(now, LeaseEvent::Renewed { sent_at: now }, &mut rng);
        now = now + Duration::from_secs(1);
    }
    machine.on_lease(now, LeaseEvent::Renewed { sent_at: now }, &mut rng);
    (machine, now, rng)
}

/// Guards against a successor that orders while the predecessor's order is still on its way, and
/// against loads above the limit.
#[test]
fn holder_waits_reads_and_loads_two_at_once() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut early = OrderMachine::new(2);
    let start = ClockTime::from_millis(1_000);
    early.apply(start, &document(1, 2));
    early.on_lease(start, LeaseEvent::Acquired { fencing: 5, sent_at: start }, &mut rng);
    assert!(early.on_reading(start, start, "s0", reading(1, false)).is_empty(), "no wait");

    let (mut machine, now, _) = holder(4, 2);
    for server in ["s0", "s1", "s2"] {
        assert!(
            machine.on_reading(now, now, server, reading(1, false)).is_empty(),
            "s3 is not read"
        );
    }
    let effects = machine.on_reading(now, now, "s3", reading(1, true));
    assert_eq!(sends(&effects), ["s0"], "s3 loads already");
    let effects = machine.on_reading(now, now, "s3", reading(2, false));
    assert_eq!(sends(&effects), ["s1"]);
    assert!(machine.on_reading(now, now, "s0", reading(1, false)).is_empty(), "order on its way");
    assert!(machine.on_reading(now, now, "s0", reading(1, true)).is_empty());
    assert_eq!(sends(&machine.on_reading(now, now, "s0", reading(2, false))), ["s2"]);
    assert_eq!(machine.behind().collect::<Vec<_>>(), ["s1", "s2"]);
}

/// Guards against a holder that orders after a pause, or after a server has seen its successor.
#[test]
fn ended_lease_sends_nothing() {
    struct EndCase {
        name: &'static str,
        end: fn(&mut OrderMachine, ClockTime, &mut SmallRng) -> ClockTime,
    }
    let cases = [
        EndCase { name: "pause", end: |_, now, _| now + LEASE_TIME },
        EndCase {
            name: "pause, then a late renewal",
            end: |machine, now, rng| {
                let woken = now + LEASE_TIME;
                machine.on_lease(woken, LeaseEvent::Renewed { sent_at: woken }, rng);
                woken
            },
        },
        EndCase {
            name: "stale token",
            end: |machine, now, _| {
                machine.on_outcome(now, "s0", OrderOutcome::StaleFencing);
                now
            },
        },
        EndCase {
            name: "lost",
            end: |machine, now, rng| {
                machine.on_lease(now, LeaseEvent::Lost, rng);
                now
            },
        },
    ];
    for case in cases {
        let (mut machine, now, mut rng) = holder(1, 2);
        let now = (case.end)(&mut machine, now, &mut rng);
        let effects = machine.on_reading(now, now, "s0", reading(1, false));
        assert!(effects.is_empty(), "{}: {effects:?}", case.name);
        let mut effects = machine.on_timer(now + Duration::from_secs(60), &mut rng);
        effects.extend(machine.on_timer(now + Duration::from_secs(61), &mut rng));
        assert!(sends(&effects).is_empty(), "{}: {effects:?}", case.name);
        assert!(effects.contains(&OrderEffect::Acquire), "{}: candidate gives up", case.name);
    }
}

/// Guards against an order that stays counted when its result is lost, and one that is repeated
/// while it may still arrive or after a reading from before it.
#[test]
fn unknown_outcome_is_read_back() {
    let (mut machine, now, mut rng) = holder(1, 2);
    assert_eq!(sends(&machine.on_reading(now, now, "s0", reading(1, false))), ["s0"]);
    machine.on_outcome(now, "s0", OrderOutcome::Unknown);
    let effects = machine.on_timer(now + Duration::from_secs(1), &mut rng);
    assert!(effects.contains(&OrderEffect::Read { server: "s0".to_string() }));
    let later = now + REQUEST_TIMEOUT + Duration::from_millis(1);
    assert!(machine.on_reading(later, now, "s0", reading(1, false)).is_empty());
    assert_eq!(sends(&machine.on_reading(later, later, "s0", reading(1, false))), ["s0"]);
}
