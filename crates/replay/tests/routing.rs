//! Tests the routing of an entry over real sockets: prefix reuse, hedging, resumed streams and
//! refusals.

use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::{EngineSettings, FaultUpdate};
use futures::StreamExt;
use serde_json::{Value, json};

/// Number of pieces in the prompt. A piece has 64 bytes in these tests.
const PIECES: usize = 8;

fn fleet_settings(engines: usize) -> FleetSettings {
    let engine = EngineSettings { time_scale: 20.0, ..EngineSettings::default() };
    FleetSettings { entries: 1, engines: vec![engine; engines], ..FleetSettings::default() }
}

fn request_body(tokens: u32, stream: bool) -> Value {
    let prompt = "the carob harvest of the north ".repeat(PIECES * 64 / 31 + 1);
    let prompt = &prompt[..PIECES * 64];
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream })
}

async fn complete(fleet: &Fleet, tokens: u32) -> (u16, Value) {
    let url = format!("{}/v1/completions", fleet.entry_url(0));
    let request = awc::Client::default().post(url).bearer_auth(workspace_key("workspace-1"));
    let timeout = std::time::Duration::from_secs(20);
    let mut response =
        request.timeout(timeout).send_json(&request_body(tokens, false)).await.unwrap();
    (response.status().as_u16(), response.json().await.unwrap())
}

fn text(body: &Value) -> &str {
    body["choices"][0]["text"].as_str().unwrap_or_default()
}

/// Returns the index of the engine that has received the most requests.
fn busiest(fleet: &Fleet) -> usize {
    let requests = |index: &usize| fleet.engines[*index].counters().requests;
    (0..fleet.engines.len()).max_by_key(requests).unwrap()
}

/// Guards against a prefix that is computed again on another engine although an idle engine has it
/// in its cache.
#[actix_rt::test]
async fn a_prefix_is_computed_once() {
    let fleet = Fleet::start(&fleet_settings(3)).await.unwrap();
    for _ in 0..6 {
        assert_eq!(complete(&fleet, 4).await.0, 200);
    }
    let counters: Vec<_> = fleet.engines.iter().map(|engine| engine.counters()).collect();
    let used = counters.iter().filter(|counters| counters.requests > 0).count();
    let hits: u64 = counters.iter().map(|counters| counters.hit_tokens).sum();
    let prompts: u64 = counters.iter().map(|counters| counters.prompt_tokens).sum();
    assert_eq!(used, 1, "{counters:?}");
    assert!(hits * 6 >= prompts * 5 - prompts / 10, "{hits} of {prompts} tokens were hits");
    fleet.stop().await;
}

/// Guards against a request that waits for a stalled engine instead of being hedged.
#[actix_rt::test]
async fn a_hedge_overtakes_a_stalled_engine() {
    let fleet = Fleet::start(&fleet_settings(2)).await.unwrap();
    let (_, expected) = complete(&fleet, 8).await;
    let stalled = busiest(&fleet);
    fleet.engines[stalled]
        .update_faults(&FaultUpdate { stall: Some(true), ..FaultUpdate::default() });
    let (status, body) = complete(&fleet, 8).await;
    assert_eq!((status, text(&body)), (200, text(&expected)));
    fleet.stop().await;
}

/// Guards against a stream that ends early, or repeats or loses text, when its engine crashes.
#[actix_rt::test]
async fn a_stream_survives_the_crash_of_its_engine() {
    let fleet = Fleet::start(&fleet_settings(2)).await.unwrap();
    let (_, expected) = complete(&fleet, 200).await;
    let url = format!("{}/v1/completions", fleet.entry_url(0));
    let request = awc::Client::default().post(url).bearer_auth(workspace_key("workspace-1"));
    let mut response = request.send_json(&request_body(200, true)).await.unwrap();
    let mut received = Vec::new();
    let mut crashed = false;
    while let Some(part) = response.next().await {
        received.extend_from_slice(&part.unwrap());
        if !crashed {
            crashed = true;
            let crash = FaultUpdate { crash: Some(true), ..FaultUpdate::default() };
            fleet.engines[busiest(&fleet)].update_faults(&crash);
        }
    }
    let received = String::from_utf8(received).unwrap();
    let mut answer = String::new();
    for line in received.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(chunk) = serde_json::from_str::<Value>(line) {
            answer.push_str(text(&chunk));
        }
    }
    assert_eq!(answer, text(&expected));
    assert!(received.trim_end().ends_with("data: [DONE]"), "{received}");
    fleet.stop().await;
}

/// Guards against an error response without an outcome, and against one which states that a request
/// did not run although an attempt may have run.
#[actix_rt::test]
async fn refusals_tell_the_outcome() {
    struct Case {
        name: &'static str,
        fault: FaultUpdate,
        stopped: bool,
        outcome: &'static str,
    }
    let none = FaultUpdate::default;
    let cases = [
        Case { name: "stopped", fault: none(), stopped: true, outcome: "not_run" },
        Case {
            name: "garbage",
            fault: FaultUpdate { garbage: Some(true), ..none() },
            stopped: false,
            outcome: "outcome_unknown",
        },
    ];
    for case in cases {
        let fleet = Fleet::start(&fleet_settings(2)).await.unwrap();
        for engine in &fleet.engines {
            engine.update_faults(&case.fault);
            if case.stopped {
                engine.stop().await;
            }
        }
        let (status, body) = complete(&fleet, 4).await;
        assert!(status >= 500, "{}: {status} {body}", case.name);
        assert_eq!(body["error"]["outcome"], case.outcome, "{}: {body}", case.name);
        fleet.stop().await;
    }
}
