//! Tests the whole request path over real sockets: client, entries, steward and simulated servers.

use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::EngineSettings;
use serde_json::{Value, json};

fn fleet_settings() -> FleetSettings {
    let engine = EngineSettings { time_scale: 20.0, ..EngineSettings::default() };
    FleetSettings { engines: vec![engine; 3], ..FleetSettings::default() }
}

/// Guards against a response that is lost or truncated between engine and client, at any entry.
#[actix_rt::test]
async fn completion_reaches_the_client_complete() {
    let fleet = Fleet::start(&fleet_settings()).await.unwrap();
    let client = awc::Client::default();
    for position in 0..fleet.entries.len() {
        let url = format!("{}/v1/completions", fleet.entry_url(position));
        let mut response = client
            .post(&url)
            .bearer_auth(workspace_key("workspace-1"))
            .send_json(&json!({ "model": MODEL, "prompt": "is the float ready?", "max_tokens": 8 }))
            .await
            .unwrap();
        assert_eq!(response.status(), 200);
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["usage"]["completion_tokens"], 8);
        assert_eq!(body["choices"][0]["finish_reason"], "length");
    }
    fleet.stop().await;
}
