//! Load of the key-value service: while nothing changes, and when all nodes restart at once.

use std::time::Duration;

use carobvane_core::{
    clock::{ClockTime, TimerQueue},
    ids::NodeId,
    lists::{KeyValueReport, ListMessage, ListReplicator, ListSnapshot, ReplicationEffect},
    membership::WATCHERS_PER_DATA_CENTRE,
    orders::{LEASE_LIFETIME, LeaseEvent, OrderController, OrderEffect},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::RunValue;

const START_TIME: ClockTime = ClockTime::from_millis(100_000);
const MESSAGE_LATENCY: Duration = Duration::from_millis(2);
/// Time that the service takes to answer a read.
const READ_DURATION: Duration = Duration::from_millis(5);
/// Time within which all nodes restart, each at a random moment.
const RESTART_SPREAD: Duration = Duration::from_secs(1);
/// Simulated time for which calls are counted while nothing changes.
const QUIET_DURATION: Duration = Duration::from_secs(120);
/// Time without a change after which a watch is opened again. The same as `WATCH_IDLE` in
/// `crates/host`.
const WATCH_IDLE: Duration = Duration::from_secs(60);

/// Returns the number of data centres of a fleet: 21 at 780 nodes, proportionally fewer for smaller
/// fleets, but at least 3.
pub fn data_centre_count(nodes: usize) -> usize {
    (nodes * 21 / 780).clamp(3, 21)
}

/// Measures the load of the service for a fleet of `nodes` entries.
pub(super) fn measure(nodes: usize, seed: u64, accepted: &ListSnapshot) -> Vec<RunValue> {
    let watchers = data_centre_count(nodes) * WATCHERS_PER_DATA_CENTRE;
    let quiet = measure_quiet_calls(watchers, seed);
    let (reads, busiest, ready) = measure_mass_restart(nodes, watchers, seed, accepted);
    vec![
        RunValue::new("service calls, quiet", "1/s", quiet),
        RunValue::new("service reads, herd", "1", reads),
        RunValue::new("service reads in 100 ms, herd", "1", busiest).with_target(200.0),
        RunValue::new("last node with lists, herd", "ms", ready),
    ]
}

/// Returns the calls per second for the order lease and for watches that are opened again.
fn measure_quiet_calls(candidates: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut controllers: Vec<OrderController> =
        (0..candidates).map(|_| OrderController::new(2)).collect();
    controllers
        .iter_mut()
        .for_each(|controller| controller.set_candidate(START_TIME, true, &mut rng));
    let (mut holder, mut end, mut calls) = (None, START_TIME, 0_u64);
    let mut now = START_TIME;
    while now < START_TIME + QUIET_DURATION {
        now = now + Duration::from_millis(20);
        if now >= end {
            holder = None;
        }
        for (index, controller) in controllers.iter_mut().enumerate() {
            for effect in controller.on_timer(now, &mut rng) {
                let event = match effect {
                    OrderEffect::Acquire if holder.is_none() => {
                        // Acquiring the lease takes a read, a lease grant and a write.
                        calls += 3;
                        (holder, end) = (Some(index), now + LEASE_LIFETIME);
                        LeaseEvent::Acquired { fencing: 1, sent_at: now }
                    }
                    OrderEffect::Acquire => {
                        calls += 1;
                        LeaseEvent::HeldByOther
                    }
                    OrderEffect::Renew => {
                        calls += 1;
                        end = now + LEASE_LIFETIME;
                        LeaseEvent::Renewed { sent_at: now }
                    }
                    _ => continue,
                };
                controller.on_lease(now, event, &mut rng);
            }
        }
    }
    calls as f64 / QUIET_DURATION.as_secs_f64() + candidates as f64 / WATCH_IDLE.as_secs_f64()
}

enum RestartEvent {
    Start(usize),
    Wake(usize),
    Deliver(usize, usize, ListMessage),
    Answer(usize),
}

/// Simulates a restart of all nodes, which then have no lists. Returns the number of reads, the
/// largest number of reads within 100 ms, and the milliseconds until the last node has lists.
fn measure_mass_restart(
    nodes: usize,
    watchers: usize,
    seed: u64,
    accepted: &ListSnapshot,
) -> (f64, f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = TimerQueue::new();
    for node in 0..nodes {
        let micros = rng.random_range(0..RESTART_SPREAD.as_micros() as u64);
        queue.schedule(START_TIME + Duration::from_micros(micros), RestartEvent::Start(node));
    }
    let mut replicators: Vec<Option<ListReplicator>> = vec![None; nodes];
    let (mut reads, mut last, mut ready) = (Vec::new(), START_TIME, 0);
    while let Some(now) = queue.next_due() {
        if ready == nodes || now.since(START_TIME) > Duration::from_secs(60) {
            break;
        }
        let Some(event) = queue.pop_due(now) else { break };
        let (index, effects) = match event {
            RestartEvent::Start(index) => {
                let mut replicator = ListReplicator::start(now, index < watchers, &mut rng);
                let peers = (0..nodes).filter(|peer| *peer != index);
                replicator.set_peers(peers.map(|peer| NodeId(peer as u32)).collect());
                replicators[index] = Some(replicator);
                queue.schedule(now, RestartEvent::Wake(index));
                (index, Vec::new())
            }
            RestartEvent::Wake(index) => {
                let Some(replicator) = &mut replicators[index] else { continue };
                let effects = replicator.on_timer(now, &mut rng);
                if let Some(due) = replicator.next_due() {
                    queue.schedule(due, RestartEvent::Wake(index));
                }
                (index, effects)
            }
            RestartEvent::Deliver(from, to, message) => {
                let Some(replicator) = &mut replicators[to] else { continue };
                let from = NodeId(from as u32);
                (to, replicator.on_message(now, from, message, &mut rng))
            }
            RestartEvent::Answer(index) => {
                let Some(replicator) = &mut replicators[index] else { continue };
                let report = KeyValueReport::Snapshot(Box::new(accepted.clone()));
                (index, replicator.on_key_value_report(report, &mut rng))
            }
        };
        for effect in effects {
            match effect {
                ReplicationEffect::Send { to, message } => {
                    let event = RestartEvent::Deliver(index, to.0 as usize, message);
                    queue.schedule(now + MESSAGE_LATENCY, event);
                }
                ReplicationEffect::ReadKeyValue => {
                    reads.push(now);
                    queue.schedule(now + READ_DURATION, RestartEvent::Answer(index));
                }
                ReplicationEffect::Activate(_) => {
                    ready += 1;
                    last = now;
                }
                _ => {}
            }
        }
    }
    let window = Duration::from_millis(100);
    let in_window = |end: &ClockTime| {
        reads.iter().filter(|at| **at <= *end && end.since(**at) < window).count()
    };
    let busiest = reads.iter().map(in_window).max().unwrap_or(0);
    (reads.len() as f64, busiest as f64, last.since(START_TIME).as_secs_f64() * 1_000.0)
}
