//! Plan limits through real entries.

use carobvane_core::plans::PlanLimits;
use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::EngineSettings;
use serde_json::{Value, json};

/// Tokens a minute for the plan.
const TOKENS: u64 = 2_000;
/// Refusals in a row after which an entry's plan counts as used up. The first requests may come
/// before the entries have heard of each other.
const REFUSALS: usize = 20;

/// Sends requests to one entry until the plan is used up; returns the tokens used.
async fn use_up(fleet: &Fleet, position: usize) -> u64 {
    let client = awc::Client::default();
    let url = format!("{}/v1/completions", fleet.entry_url(position));
    let (mut used, mut refused, mut limit) = (0, 0, Value::Null);
    while refused < REFUSALS {
        let body = json!({ "model": MODEL, "prompt": "a", "max_tokens": 4 });
        let request = client.post(&url).bearer_auth(workspace_key("workspace-1"));
        let mut response = request.send_json(&body).await.unwrap();
        let status = response.status();
        let answer: Value = response.json().await.unwrap();
        if status == 200 {
            refused = 0;
            used += answer["usage"]["total_tokens"].as_u64().unwrap();
            continue;
        }
        assert_eq!(status, 429, "{answer}");
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(answer["error"]["outcome"], "not_run");
        limit = answer["error"]["param"].clone();
        refused += 1;
    }
    assert_eq!(limit, "tokens_per_minute");
    used
}

/// Guards against a plan that gets more than its limit through two entries, and one that is stuck
/// at one entry's share.
#[actix_rt::test]
async fn limit_holds_over_entries_and_is_usable_through_one() {
    let engine = EngineSettings { time_scale: 100.0, ..EngineSettings::default() };
    let limits = PlanLimits { tokens_per_minute: TOKENS, ..FleetSettings::default().limits };
    let settings =
        FleetSettings { engines: vec![engine; 2], entries: 2, limits, ..FleetSettings::default() };
    let fleet = Fleet::start(&settings).await.unwrap();
    let first = use_up(&fleet, 0).await;
    let second = use_up(&fleet, 1).await;
    assert!(first + second <= TOKENS, "{first} and {second} of {TOKENS} tokens");
    assert!(first > TOKENS * 9 / 10, "{first} of {TOKENS} tokens through one entry");
    fleet.stop().await;
}
