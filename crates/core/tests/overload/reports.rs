//! Reports of the pressure of a service.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    overload::{
        AdmissionDecision, AdmissionGate, AdmissionRequest, FleetPressure, PressureReport,
        RankReport, RequestGroups, RequestRank,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const MS: Duration = Duration::from_millis(1);

fn report(sender: u64, pressure: u16) -> PressureReport {
    let ranks = vec![RankReport { rank: 3, work: 400, refused: pressure }];
    PressureReport { service: "service".to_string(), sender, pressure, ranks }
}

/// Guards against wrong, old or too many reports that decide, and against a node that ignores what
/// it sees itself.
#[test]
fn reports_of_a_few_nodes_decide_nothing() {
    struct Case {
        name: &'static str,
        /// Fill of the queues that this node sees, in percent of the bound.
        own_fill: u32,
        told: &'static [u16],
        age_ms: u32,
        expected: (f64, f64),
    }
    let cases = [
        Case { name: "no news", own_fill: 100, told: &[], age_ms: 0, expected: (0.8, 1.0) },
        Case { name: "one report", own_fill: 0, told: &[900], age_ms: 0, expected: (0.0, 0.0) },
        Case { name: "agreed", own_fill: 0, told: &[500; 6], age_ms: 0, expected: (0.3, 0.4) },
        Case {
            name: "a quarter is wrong",
            own_fill: 0,
            told: &[0, 0, 0, 0, 0, 1_000, 65_535],
            age_ms: 0,
            expected: (0.0, 0.0),
        },
        Case { name: "old", own_fill: 0, told: &[900; 6], age_ms: 3_000, expected: (0.0, 0.0) },
        Case {
            name: "others see nothing",
            own_fill: 200,
            told: &[0; 6],
            age_ms: 0,
            expected: (0.2, 0.3),
        },
    ];
    for case in cases {
        let mut fleet = FleetPressure::default();
        let told_at = ClockTime::from_millis(50_000);
        for (sender, pressure) in case.told.iter().enumerate() {
            fleet.on_report(told_at, report(sender as u64, *pressure));
        }
        let now = told_at + MS * case.age_ms;
        (0..40).for_each(|_| fleet.own.on_wait(now, MS * case.own_fill, MS * 100));
        let pressure = fleet.pressure(now);
        let (lowest, highest) = case.expected;
        assert!((lowest..=highest).contains(&pressure), "{}: {pressure}", case.name);
    }
    let mut fleet = FleetPressure::default();
    let now = ClockTime::from_millis(50_000);
    (0..1_000).for_each(|sender| fleet.on_report(now, report(sender, 65_535)));
    let ranks = fleet.told_ranks(now);
    assert_eq!(ranks, [RankReport { rank: 3, work: 400, refused: 1_000 }]);
}

/// Guards against notices without overload, against more than two a second for a service, and
/// against others that believe in a pressure that has ended.
#[test]
fn pressure_is_reported_while_it_lasts() {
    struct Case {
        name: &'static str,
        fill: u32,
        reports: std::ops::RangeInclusive<usize>,
        last: Option<u16>,
    }
    let cases = [
        Case { name: "no queue", fill: 10, reports: 0..=0, last: None },
        Case { name: "full queues for two seconds", fill: 100, reports: 3..=8, last: Some(0) },
    ];
    for case in cases {
        let mut fleet = FleetPressure::default();
        let mut reports = Vec::new();
        for index in 0..600 {
            let now = ClockTime::from_millis(50_000 + index * 10);
            let fill = if index < 200 { case.fill } else { 0 };
            fleet.own.on_wait(now, MS * fill, MS * 100);
            reports.extend(fleet.take_report(now));
        }
        assert!(case.reports.contains(&reports.len()), "{}: {reports:?}", case.name);
        assert_eq!(reports.last().copied(), case.last, "{}", case.name);
    }
}

/// Guards against one urgent request that is nearly out of time, after which the queues count as full and all
/// others are refused.
#[test]
fn a_request_without_time_raises_no_pressure() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut gate = AdmissionGate::default();
    let request = |priority, time_left: u32| AdmissionRequest {
        rank: RequestRank::new(priority, priority, 35.0),
        groups: RequestGroups::default(),
        server_ms: 35.0,
        expected: MS * 85,
        idle: MS * 35,
        target: MS * 500,
        elapsed: Duration::ZERO,
        time_left: MS * time_left,
        client_time_left: MS * time_left,
        continues: false,
        is_return: false,
        ticket: None,
    };
    let at = |ms: u64| ClockTime::from_millis(50_000 + ms);
    for ms in 0..20 {
        let late = gate.decide(at(ms * 10), &request(0, 40), &mut rng);
        assert_ne!(late.decision, AdmissionDecision::Admit, "it cannot be served in time");
    }
    let verdict = gate.decide(at(200), &request(2, 5_000), &mut rng);
    assert_eq!((verdict.pressure, verdict.decision), (0.0, AdmissionDecision::Admit));
}
