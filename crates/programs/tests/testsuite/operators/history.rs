//! Tests of `carobvane history`.

use expect_test::{expect, expect_file};

use carobvane_core::lists::{ListSnapshot, ListVersion};
use carobvane_host::{
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    node::ListSource,
};

use super::support::{ListFolder, TestDeployment, following_entry};

/// Guards against changes that are missing from the history or out of order.
#[actix_rt::test]
async fn history_lists_changes_latest_first() {
    let deployment = TestDeployment::start(vec![following_entry(1)]).await;
    expect![[r#"
        exit 0
        no version was accepted yet
    "#]]
    .assert_eq(&deployment.run(&["history"]).await);
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text("plans.toml", "\"40/s\"", "\"30/s\"");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text("fleet.toml", "version = 14", "version = 15");
    deployment.plan_and_apply(&folder).await;
    expect![[r#"
        exit 0
        version 3, digest fd60c35492d654e5670ec5a1ad58e3814cb454c2a910cf5338c8d3f29c6e06ab
            weights: atlas-large
        version 2, digest 90140ebb11236c94ab933cb20745bc93210829e0c458e9f78281e45af3ae7489
            plans: charter
    "#]]
    .assert_eq(&deployment.run(&["history", "--limit", "2"]).await);
    expect_file!["snapshots/history_json.txt"]
        .assert_eq(&deployment.run(&["history", "--limit", "1", "--json"]).await);
}

/// Guards against omitting a version whose change was lost when the key-value service was restored
/// from an old copy.
#[actix_rt::test]
async fn lost_changes_are_shown() {
    let deployment = TestDeployment::start(vec![following_entry(1)]).await;
    deployment.plan_and_apply(&ListFolder::from_example("irazabal")).await;
    let url = format!("http://{}", deployment.keyvalue.addr());
    let source = ListSource::new(KeyvalueClient::new(KeyvalueSettings::new(url)));
    let mut snapshot = ListSnapshot::default();
    snapshot.version = ListVersion::first(3, &snapshot.document);
    let head =
        source.client().get("carobvane/lists/head").await.expect("the key-value service responds");
    let revision = head.expect("the head key is stored").mod_revision;
    assert!(source.write_back(&snapshot, revision).await.expect("the key-value service responds"));
    expect![[r#"
        exit 0
        version 3: its change is not stored
        version 2: its change is not stored
    "#]]
    .assert_eq(&deployment.run(&["history", "--limit", "2"]).await);
}
