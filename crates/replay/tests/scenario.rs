//! Tests of the scenario parser.

use std::path::Path;

use carobvane_replay::scenario::{Comparison, ScenarioAction, ScenarioMeasure, parse};
use expect_test::expect;

/// Guards against committed scenario files that no longer parse, that name a missing trace, or that
/// have no expectations.
#[test]
fn committed_scenarios_parse() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let scenario = parse(&path, &text).unwrap();
        assert!(scenario.trace.exists(), "{}", path.display());
        assert!(!scenario.expectations.is_empty(), "{}", path.display());
        count += 1;
    }
    assert!(count >= 4);
}

/// Guards against statements that parse to the wrong values.
#[test]
fn statements_are_read() {
    let text = "deployment kelani # the sizes\ntrace t.jsonl\nengines 4\n\
                at 1.5s engine 4 slow 3\nexpect ttft.p99 short <= 250ms\nexpect hit_rate >= 50%";
    let scenario = parse(Path::new("scenarios/a.scn"), text).unwrap();
    assert_eq!(scenario.trace, Path::new("scenarios/t.jsonl"));
    assert_eq!((scenario.entries, scenario.engines, scenario.services), (3, 4, 3));
    let event = &scenario.events[0];
    assert_eq!(event.at.as_millis(), 1_500);
    let ScenarioAction::Engine(3, update) = &event.action else { panic!("{event:?}") };
    assert_eq!(update.slow_factor, Some(3.0));
    let [first_token, hits] = &scenario.expectations[..] else { panic!() };
    assert!(matches!(first_token.measure, ScenarioMeasure::FirstToken(0.99, Some(_))));
    assert_eq!((first_token.comparison, first_token.bound), (Comparison::AtMost, 250.0));
    assert_eq!(hits.bound, 0.5);
}

/// Guards against a parser that stops at the first error, or reports errors without a line number.
#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = "deployment nowhere\nengines 2\nengines 3\nat 2s engine 3 crash\n\
                at soon entry 1 stop\nat 1s keyvalue melt\nexpect ttft.p99 long <= 1s\n\
                expect wrong short == 0\nexpect answered >= many\nexpect ttft.p999 < 1s\n\
                expect wrong == 0 0\njump";
    let errors = parse(Path::new("bad.scn"), text).unwrap_err();
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    expect![[r#"
        bad.scn: statement "trace FILE" is missing
        bad.scn:1: deployment "nowhere" does not exist
        bad.scn:3: engines is given twice
        bad.scn:4: engine 3 does not exist, there are 2
        bad.scn:5: time "soon" is not a duration such as 250ms or 1.5s
        bad.scn:6: unknown fault "melt" of the key-value service
        bad.scn:7: unknown comparison or class "long"
        bad.scn:8: measure "wrong" does not take a class
        bad.scn:9: bound "many" is not a number, percentage or duration
        bad.scn:10: percentile "999" is not between 0 and 100
        bad.scn:11: unexpected "0" at the end of the statement
        bad.scn:12: unknown statement "jump"
    "#]]
    .assert_eq(&(lines.join("\n") + "\n"));
}
