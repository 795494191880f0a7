//! Many nodes that place requests at the same servers, played with a model of servers and links.

mod fleet;
mod node;
mod server;

use fleet::{Fleet, FleetCase, FleetOutcome, Reports};

const SECONDS: u64 = 6;

const STEADY: FleetCase = FleetCase {
    name: "steady",
    nodes: 20,
    delays_ms: (5, 30),
    servers: 30,
    slots: 12,
    speeds: (1.0, 1.0),
    rates: (200.0, 500.0),
    burst: (1.0, 1.0),
    silent: 0.0,
    reports: Reports::Right,
    retries: false,
    has_deaf_node: false,
};

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn late_share(values: &[f64], target_ms: f64) -> f64 {
    values.iter().filter(|ms| **ms > target_ms).count() as f64 / values.len() as f64
}

fn describe(outcome: &FleetOutcome) -> String {
    format!(
        "{} requests, {} rejected, {} refused, busiest {:.2}, long {:.0} ms late {:.3}, short {:.0} ms late {:.3}",
        outcome.requests,
        outcome.rejected,
        outcome.refused,
        outcome.shares.iter().copied().fold(0.0, f64::max),
        median(&outcome.long_ms),
        late_share(&outcome.long_ms, 1_200.0),
        median(&outcome.short_ms),
        late_share(&outcome.short_ms, 500.0),
    )
}

/// Guards against nodes that send to the same server because they do not know each other's choices:
/// it rejects requests, and the others are idle.
#[test]
fn nodes_together_use_servers_in_proportion_to_their_capacity() {
    let cases = [
        STEADY,
        FleetCase { name: "burst of long prompts", burst: (2.4, 1.0), ..STEADY },
        FleetCase { name: "burst of short prompts", burst: (1.0, 1.8), ..STEADY },
        FleetCase { name: "a quarter silent", silent: 0.25, ..STEADY },
        FleetCase { name: "unequal speeds", speeds: (0.55, 1.2), ..STEADY },
        FleetCase { name: "clients retry at once", retries: true, burst: (1.5, 1.5), ..STEADY },
        FleetCase { name: "old reports", reports: Reports::Old, ..STEADY },
        FleetCase { name: "no reports", reports: Reports::Missing, ..STEADY },
        FleetCase { name: "false reports", reports: Reports::False, ..STEADY },
        FleetCase { name: "a deaf node", has_deaf_node: true, ..STEADY },
        FleetCase { name: "relayed notices", nodes: 48, delays_ms: (40, 120), ..STEADY },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let outcome = Fleet::new(case, 1_000).run(SECONDS);
        let turned_away = (outcome.rejected + outcome.refused) as f64 / outcome.requests as f64;
        let busiest = outcome.shares.iter().copied().fold(0.0, f64::max);
        let choices: u64 = outcome.first_node_choices.values().sum();
        let most = outcome.first_node_choices.values().max().copied().unwrap_or(0);
        let one_server = most * case.servers as u64 > 4 * choices;
        let late = late_share(&outcome.long_ms, 1_200.0).max(late_share(&outcome.short_ms, 500.0));
        if turned_away > 0.03 || busiest > 1.4 || one_server || late > 0.01 {
            failures.push(format!("{}: {}", case.name, describe(&outcome)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
