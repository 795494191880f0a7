//! Tests of the trace format, the trace generator and reports.

use carobvane_replay::{
    deployment::{self, IRAZABAL, KELANI},
    generate::{GenerateSettings, generate_trace},
    report::MeasureReport,
    stats::SampleSummary,
    trace::{self, TraceClass},
};
use expect_test::expect;

fn settings(seed: u64) -> GenerateSettings {
    GenerateSettings {
        deployment: IRAZABAL,
        seed,
        duration_ms: 20_000,
        peak_factor: 4.0,
        rate_factor: 0.4,
    }
}

/// Guards against a change of the generator after which the committed trace can no longer be
/// reproduced.
#[test]
fn committed_trace_is_reproducible() {
    let committed = include_str!("../../../traces/irazabal-small.jsonl");
    let generated = trace::format(&generate_trace(settings(1))).unwrap();
    assert!(generated == committed, "the trace differs; generate it again with seed 1");
    assert_eq!(trace::format(&trace::parse(committed).unwrap()).unwrap(), committed);
}

/// Guards against generated traces that lack the load peak or one of the request classes, or that
/// mark bookings as idempotent.
#[test]
fn traces_have_the_traffic_properties() {
    for deployment in [IRAZABAL, KELANI] {
        let settings = GenerateSettings { deployment, rate_factor: 1.0, ..settings(3) };
        let requests = generate_trace(settings);
        let peak = settings.peak_window();
        let rate = |inside: bool| {
            let wanted = |at: &u64| peak.contains(at) == inside;
            let length = if inside { peak.end - peak.start } else { 16_000 };
            let arrivals = requests.iter().filter(|request| request.class != TraceClass::Booking);
            arrivals.filter(|request| wanted(&request.arrival_ms)).count() as f64 / length as f64
        };
        let factor = rate(true) / rate(false);
        assert!((3.0..5.0).contains(&factor), "{}: crest factor {factor}", deployment.name);
        for class in [TraceClass::Short, TraceClass::Draft, TraceClass::Booking] {
            assert!(requests.iter().any(|request| request.class == class), "{class:?}");
        }
        let bookings = requests.iter().filter(|request| request.class == TraceClass::Booking);
        assert!(bookings.clone().all(|request| !request.idempotent));
        assert_eq!(deployment::find(deployment.name), Some(deployment));
    }
}

/// Guards against trace errors that do not give the line number.
#[test]
fn trace_errors_name_the_line() {
    let line =
        r#"{"arrival_ms":5,"workspace":"w","class":"short","idempotent":true,"deadline_ms":1}"#;
    let cases = [
        (format!("{line}\n{{"), expect!["failed to read trace line 2"]),
        (
            format!("{line}\n{}", line.replace(":5", ":4")),
            expect!["trace line 2 arrives at 4 ms, before its predecessor"],
        ),
    ];
    for (text, expected) in cases {
        expected.assert_eq(&trace::parse(&text).unwrap_err().to_string());
    }
}

/// Guards against report tables without the range of the values or the number of runs.
#[test]
fn report_shows_median_and_spread() {
    assert_eq!(
        SampleSummary::from_values(&[4.0, 1.0]),
        SampleSummary { median: 2.5, low: 1.0, high: 4.0, runs: 2 }
    );
    let mut report = MeasureReport { title: "Policies".to_string(), ..MeasureReport::default() };
    report.conditions.push("trial".to_string());
    report.push("ttft p99", "ms", "oracle", &[3.0, 1.0, 2.0]);
    expect![[r#"
        Policies
        - trial

        | measure | subject | median | lowest | highest | runs |
        |---|---|---:|---:|---:|---:|
        | ttft p99 (ms) | oracle | 2.000 | 1.000 | 3.000 | 3 |
    "#]]
    .assert_eq(&report.table());
}
