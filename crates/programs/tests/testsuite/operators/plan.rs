//! Tests of `carobvane plan`.

use carobvane_proto::admin::{TargetUsage, WorkspaceUsage};
use expect_test::{expect, expect_file};

use super::support::{ListFolder, TestDeployment, following_entry};

/// Guards against a plan that does not show which models and services a workspace loses or how much
/// it uses them.
#[actix_rt::test]
async fn plan_names_losses_with_current_use() {
    let mut node = following_entry(1);
    node.status.usage.push(WorkspaceUsage {
        workspace: "hollis".into(),
        plan: "fleet".into(),
        in_progress: 3,
        targets: vec![TargetUsage { target: "service/booking".into(), requests: 41 }],
        ..WorkspaceUsage::default()
    });
    let deployment = TestDeployment::start(vec![node]).await;
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text("grants.toml", "services = [\"booking\"]\nadapters", "adapters");
    folder.replace_text("plans.toml", "\"40/s\"", "\"60/s\"");
    folder.replace_text("fleet.toml", "version = 14", "version = 15");
    expect![[r#"
        exit 0
        Changes to version 1:
        ~ plan charter
            requests: 40/s -> 60/s
        ~ grant fleet
            services: -booking
        ~ weights atlas-large
            version: 14 -> 15

        Effects on workspaces:
          bexley
            requests 40/s -> 60/s
            model/atlas-large: weights version 14 -> 15
          hollis
            warning: loses service/booking (requests in the last minute: 41)
            model/atlas-large: weights version 14 -> 15
          marren
            loses service/booking (requests in the last minute: 0)
            model/atlas-large: weights version 14 -> 15
          oakes
            requests 40/s -> 60/s
            model/atlas-large: weights version 14 -> 15
          tidewater
            requests 40/s -> 60/s
            model/atlas-large: weights version 14 -> 15

        warnings: 1
    "#]]
    .assert_eq(&deployment.run(&["plan", folder.path()]).await);
}

/// Guards against a plan that reports no use although a node was not asked or did not respond.
#[actix_rt::test]
async fn unknown_use_is_a_warning() {
    let mut deployment = TestDeployment::start(vec![following_entry(1)]).await;
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    deployment.nodes.clear();
    folder.replace_text("plans.toml", "\"40/s\"", "\"30/s\"");
    expect_file!["snapshots/plan_json.txt"]
        .assert_eq(&deployment.run(&["plan", "--json", folder.path()]).await);
}
