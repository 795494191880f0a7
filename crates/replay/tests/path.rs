//! The whole path over loopback: stand-ins, steward, entries and a caller.

use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::EngineSettings;
use serde_json::{Value, json};

fn fleet() -> FleetSettings {
    let engine = EngineSettings { time_scale: 20.0, ..EngineSettings::default() };
    FleetSettings { engines: vec![engine; 3], ..FleetSettings::default() }
}

/// Guards against a path that loses or changes an answer between engine and caller.
#[actix_rt::test]
async fn completion_reaches_the_caller_whole() {
    let fleet = Fleet::start(&fleet()).await.unwrap();
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
