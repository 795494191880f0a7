//! Tests how entries handle leaving VMs, and the admin endpoints for routing decisions and draining.

use std::time::Duration;

use carobvane_replay::{
    client::{CallResult, CompletionCall, stream_completion},
    fleet::{Fleet, FleetSettings, MODEL, workspace_key},
};
use carobvane_standin::{
    engine::EngineSettings,
    vm_list::{self, VmEntry, VmListHandle, VmListSettings, VmState},
};
use serde_json::{Value, json};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn settings() -> FleetSettings {
    let engine = EngineSettings { time_scale: 20.0, ..EngineSettings::default() };
    FleetSettings { entries: 1, engines: vec![engine; 3], ..FleetSettings::default() }
}

async fn ask(fleet: &Fleet, question: usize) -> CallResult {
    let call = CompletionCall {
        entry: fleet.entry_url(0),
        key: workspace_key("workspace-1"),
        model: MODEL.to_string(),
        weights: 1,
        prompt: format!("question {question}"),
        tokens: 4,
    };
    stream_completion(&awc::Client::default(), &call).await
}

async fn wait_for_reads(vms: &VmListHandle, reads: u64) {
    let target = vms.calls() + reads;
    while vms.calls() < target {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against new requests to an engine whose VM the platform lists as leaving.
#[actix_rt::test]
async fn a_leaving_server_gets_no_new_work() {
    let list = VmListSettings { lag_ms: 0.0, ..VmListSettings::default() };
    let vms = vm_list::start(list).await.unwrap();
    let url = format!("http://{}/vms", vms.addr()).parse().unwrap();
    let fleet = Fleet::start(&FleetSettings { vm_list: Some(url), ..settings() }).await.unwrap();
    let leaving = &fleet.engines[1];
    let addr = leaving.addr().to_string();
    vms.set_vms(vec![VmEntry { name: "vm-2".to_string(), state: VmState::Leaving, addr }]);
    // The entry sends its second read only after it has applied the result of the first.
    wait_for_reads(&vms, 2).await;
    let before = leaving.counters().requests;
    for question in 0..30 {
        let result = ask(&fleet, question).await;
        assert!(matches!(result, CallResult::Complete { .. }), "{result:?}");
    }
    assert_eq!(leaving.counters().requests, before);
    fleet.stop().await;
}

/// Guards against routing decisions that operators cannot look up by request id, and against a
/// drain whose phase the status does not report.
#[actix_rt::test]
async fn an_entry_explains_requests_and_reports_its_drain() {
    let fleet = Fleet::start(&settings()).await.unwrap();
    let client = awc::Client::default();
    let response = client
        .post(format!("{}/v1/completions", fleet.entry_url(0)))
        .bearer_auth(workspace_key("workspace-1"))
        .insert_header(("x-request-id", "req-7"))
        .send_json(&json!({ "model": MODEL, "prompt": "is the float ready?", "max_tokens": 4 }))
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    let admin = format!("http://{}", fleet.entries[0].admin);
    let mut response = client.get(format!("{admin}/admin/decisions/req-7")).send().await.unwrap();
    let report: Value = response.json().await.unwrap();
    assert_eq!(report["outcome"], "complete");
    assert_eq!(report["attempts"][0]["end"], "complete");
    assert!(report["attempts"][0]["candidates"][0]["total_ms"].is_number(), "{report}");
    let unknown = client.get(format!("{admin}/admin/decisions/req-8")).send().await.unwrap();
    assert_eq!(unknown.status(), 404);

    let drain = json!({ "reason": "test" });
    let mut response = client.post(format!("{admin}/admin/drain")).send_json(&drain).await.unwrap();
    let report: Value = response.json().await.unwrap();
    assert_eq!(report["phase"], "announced");
    let mut response = client.get(format!("{admin}/admin/status")).send().await.unwrap();
    let status: Value = response.json().await.unwrap();
    assert_eq!(status["drain"]["phase"], "announced");
    fleet.stop().await;
}
