//! Tests of `carobvane diff`.

use expect_test::expect;

use super::support::{ListFolder, TestDeployment, following_entry};

/// Guards against a difference that omits a kind of list entry or shows key hashes in full.
#[actix_rt::test]
async fn diff_compares_versions_and_folders() {
    let deployment = TestDeployment::start(vec![following_entry(1)]).await;
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text(
        "plans.toml",
        "plan = \"desk\"\nkey_hashes = [\"db9f",
        "plan = \"charter\"\nkey_hashes = [\"eb9f",
    );
    folder.replace_text("grants.toml", "\"atlas-large\"", "");
    folder.replace_text("grants.toml", ", \"customs\"", "");
    folder.replace_text("grants.toml", "\"manifest\"", "");
    folder.replace_text("fleet.toml", "version = 6", "version = 7");
    folder.replace_text("fleet.toml", "[server.booking-4]", "[server.booking-5]");
    folder.replace_text("fleet.toml", "127.0.0.1:8309", "127.0.0.1:8310");
    expect![[r#"
        exit 0
        ~ workspace quayside
            plan: desk -> charter
            key_hashes: +eb9f6504… -db9f6504…
        ~ grant fleet
            models: -atlas-large
            adapters: -customs -manifest
        ~ weights atlas-small
            version: 6 -> 7
        - server booking-4
        + server booking-5
            service: booking
            address: 127.0.0.1:8204
            data_centre: irazabal-d
            slots: 16
            checks_fencing: false
        ~ entry entry-9
            peer: 127.0.0.1:8309 -> 127.0.0.1:8310
    "#]]
    .assert_eq(&deployment.run(&["diff", "head", folder.path()]).await);
    expect![[r#"
        exit 0
        no difference
    "#]]
    .assert_eq(&deployment.run(&["diff", "1", "head"]).await);
    expect![[r#"
        exit 0
        {
          "changes": []
        }
    "#]]
    .assert_eq(&deployment.run(&["diff", "--json", "0", "0"]).await);
}
