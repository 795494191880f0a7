//! Tests of `carobvane why`.

use carobvane_proto::admin::{AttemptReport, CandidateCost, DecisionReport};
use expect_test::expect;

use super::support::{TestDeployment, scripted_entry};

/// Guards against a routing decision that is not found although one of the nodes remembers it, and
/// against output that lacks the costs of the candidates.
#[actix_rt::test]
async fn why_shows_attempts_with_their_costs() {
    let candidate = |server: &str, queue_ms: f64| CandidateCost {
        server: server.into(),
        prefill_ms: 12.5,
        queue_ms,
        total_ms: 12.5 + queue_ms,
        ..CandidateCost::default()
    };
    let mut deciding_entry = scripted_entry(2, 4);
    deciding_entry.decision = Some(DecisionReport {
        request_id: "r-17".into(),
        node: 2,
        workspace: "hollis".into(),
        target: "model/atlas-large".into(),
        list_version: 4,
        outcome: "complete".into(),
        attempts: vec![AttemptReport {
            attempt: "r-17.1".into(),
            reason: "first".into(),
            server: "engine-03".into(),
            pieces: 12,
            expected_hits: 9,
            candidates: vec![candidate("engine-03", 1.0), candidate("engine-07", 30.0)],
            end: Some("complete".into()),
        }],
        ..DecisionReport::default()
    });
    let deployment = TestDeployment::start(vec![scripted_entry(1, 4), deciding_entry]).await;
    expect![[r#"
        exit 0
        request r-17: complete
          entry 2, workspace hollis, model/atlas-large, lists 4
          attempt r-17.1 (first) on engine-03: complete; 9 of 12 pieces expected in cache
            engine-03: 13.5 ms = prefill 12.5 + queue 1.0 + transfer 0.0 + load 0.0, times slowdown
            engine-07: 42.5 ms = prefill 12.5 + queue 30.0 + transfer 0.0 + load 0.0, times slowdown
    "#]]
    .assert_eq(&deployment.run(&["why", "r-17"]).await);
    expect![[r#"
        exit 1
        --- errors
        error: no answering entry knows request r-18
    "#]]
    .assert_eq(&deployment.run(&["why", "r-18"]).await);
    expect![[r#"
        exit 2
        --- errors
        error: a request id consists of letters, digits and `-_.:`
    "#]]
    .assert_eq(&deployment.run(&["why", "../status"]).await);
}
