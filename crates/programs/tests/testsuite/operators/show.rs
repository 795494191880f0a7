//! `carobvane show`.

use expect_test::{expect, expect_file};

use super::support::{Deployment, ListFolder, follower};

/// Guards against accepted lists that cannot be put back under version control.
#[actix_rt::test]
async fn show_prints_a_version() {
    let deployment = Deployment::start(vec![follower(1)]).await;
    let folder = ListFolder::of_example("irazabal");
    deployment.accept(&folder).await;
    folder.edit("plans.toml", "\"40/s\"", "\"30/s\"");
    deployment.accept(&folder).await;
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
