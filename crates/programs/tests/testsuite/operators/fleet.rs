//! Tests of `carobvane apply` with a running steward and entries instead of scripted nodes.

use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, workspace_key};
use carobvane_standin::engine::EngineSettings;
use serde_json::json;

use super::support::{ListFolder, TestDeployment};

/// Guards against a change that `apply` reports as in force while an entry still decides by the
/// previous lists.
#[actix_rt::test]
async fn entries_decide_by_the_applied_lists() {
    let engine = EngineSettings { time_scale: 20.0, ..EngineSettings::default() };
    let settings = FleetSettings { engines: vec![engine], ..FleetSettings::default() };
    let fleet = Fleet::start(&settings).await.expect("the fleet starts");
    let admin = fleet.entries.iter().map(|entry| entry.admin).chain([fleet.steward.admin]);
    let nodes = admin.map(|address| format!("http://{address}")).collect();
    let keyvalue = fleet.keyvalue.clone();
    let deployment = TestDeployment { keyvalue, nodes, wait_seconds: "30" };
    for (granted, status) in [(false, 404), (true, 200), (false, 404)] {
        let mut document = fleet.snapshot.document.clone();
        if !granted {
            document.grants.values_mut().for_each(|grant| grant.models.clear());
        }
        let folder = ListFolder::from_document(&document);
        let planned = deployment.run(&["plan", folder.path()]).await;
        assert!(planned.starts_with("exit 0"), "{planned}");
        let applied = deployment.run(&["apply", folder.path()]).await;
        assert!(applied.starts_with("exit 0") && applied.contains("nodes (4)"), "{applied}");
        for position in 0..fleet.entries.len() {
            let url = format!("{}/v1/completions", fleet.entry_url(position));
            let body = json!({"model": MODEL, "prompt": "is the float ready?", "max_tokens": 2});
            let request =
                awc::Client::default().post(url).bearer_auth(workspace_key("workspace-1"));
            let response = request.send_json(&body).await.expect("the entry responds");
            assert_eq!(response.status().as_u16(), status, "{applied}");
        }
    }
    fleet.stop().await;
}
