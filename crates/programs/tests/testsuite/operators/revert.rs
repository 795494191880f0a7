//! Tests of `carobvane revert`.

use expect_test::expect;

use super::support::{ListFolder, TestDeployment, following_entry};

/// Guards against a revert that decreases the version number: nodes would ignore it.
#[actix_rt::test]
async fn revert_accepts_an_earlier_version_as_a_new_one() {
    let deployment = TestDeployment::start(vec![following_entry(1)]).await;
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text("plans.toml", "\"40/s\"", "\"30/s\"");
    deployment.plan_and_apply(&folder).await;
    let before = deployment.keyvalue.counters();
    expect![[r#"
        exit 0
        ~ plan charter
            requests: 30/s -> 40/s
        version 3 is in force on all nodes (1)
        --- errors
        version 3 is accepted
        entry 1 (irazabal-a): in force, 1 of 1
    "#]]
    .assert_eq(&deployment.run(&["revert", "1"]).await);
    let after = deployment.keyvalue.counters();
    assert_eq!(after.writes - before.writes, 1);
    assert!(after.reads - before.reads <= 5, "{after:?}");
    expect![[r#"
        exit 0
        version 3 is in force on all nodes (1)
        --- errors
        version 3 holds the lists of 1 already
        entry 1 (irazabal-a): in force, 1 of 1
    "#]]
    .assert_eq(&deployment.run(&["revert", "1"]).await);
    expect![[r#"
        exit 2
        --- errors
        error: version 0 has no lists: reverting to it would stop all traffic
    "#]]
    .assert_eq(&deployment.run(&["revert", "0"]).await);
    expect![[r#"
        exit 0
        no difference
    "#]]
    .assert_eq(&deployment.run(&["diff", "1", "3"]).await);
}
