//! Tests of `carobvane show`.

use expect_test::{expect, expect_file};

use super::support::{ListFolder, TestDeployment, following_entry};

/// Guards against accepted lists that cannot be printed as list files, with which operators put
/// them back under version control.
#[actix_rt::test]
async fn show_prints_a_version() {
    let deployment = TestDeployment::start(vec![following_entry(1)]).await;
    let folder = ListFolder::from_example("irazabal");
    deployment.plan_and_apply(&folder).await;
    folder.replace_text("plans.toml", "\"40/s\"", "\"30/s\"");
    deployment.plan_and_apply(&folder).await;
    let first = deployment.run(&["show", "1"]).await;
    expect_file!["snapshots/show.txt"].assert_eq(&first);
    let second = deployment.run(&["show"]).await;
    assert!(second.contains("# version 2") && second.contains("\"30/s\""), "{second}");
    expect![[r#"
        exit 1
        --- errors
        error: the service does not hold version 9 of the lists
    "#]]
    .assert_eq(&deployment.run(&["show", "9"]).await);
}
