//! Tests that the limits of a plan hold across entries, over real sockets.

use carobvane_core::plans::PlanLimits;
use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::EngineSettings;
use serde_json::{Value, json};

/// Token limit of the plan, per minute.
const TOKENS_PER_MINUTE: u64 = 2_000;
/// Number of consecutive refusals after which the plan counts as used up at an entry. A single
/// refusal is not enough, because the first requests may arrive before the entries know each other.
const MAX_CONSECUTIVE_REFUSALS: usize = 20;

/// Sends requests to one entry until the plan is used up there, and returns the tokens used.
async fn use_up(fleet: &Fleet, position: usize) -> u64 {
    let client = awc::Client::default();
    let url = format!("{}/v1/completions", fleet.entry_url(position));
    let (mut used, mut refused, mut limit) = (0, 0, Value::Null);
    while refused < MAX_CONSECUTIVE_REFUSALS {
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

/// Guards against a plan that can exceed its limit by using two entries, and against a plan that
/// can use only one entry's share of its limit when all requests go to one entry.
#[actix_rt::test]
async fn limit_holds_across_entries_and_is_usable_through_one() {
    let engine = EngineSettings { time_scale: 100.0, ..EngineSettings::default() };
    let limits =
        PlanLimits { tokens_per_minute: TOKENS_PER_MINUTE, ..FleetSettings::default().limits };
    let settings =
        FleetSettings { engines: vec![engine; 2], entries: 2, limits, ..FleetSettings::default() };
    let fleet = Fleet::start(&settings).await.unwrap();
    let first = use_up(&fleet, 0).await;
    let second = use_up(&fleet, 1).await;
    assert!(
        first + second <= TOKENS_PER_MINUTE,
        "{first} and {second} of {TOKENS_PER_MINUTE} tokens"
    );
    assert!(
        first > TOKENS_PER_MINUTE * 9 / 10,
        "{first} of {TOKENS_PER_MINUTE} tokens through one entry"
    );
    fleet.stop().await;
}
