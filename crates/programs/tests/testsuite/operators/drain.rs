//! Tests of `carobvane drain`.

use carobvane_proto::admin::{DrainPhase, DrainReport};
use expect_test::expect;

use super::support::{ListFolder, NodeScript, TestDeployment, following_entry};

/// Entry 2 in this phase of a drain.
fn draining_entry(phase: DrainPhase, in_progress: u32) -> NodeScript {
    let mut script = following_entry(2);
    script.drain = DrainReport { node: 2, phase, in_progress };
    script
}

/// Guards against draining an entry other than the named one, and against exit code 0 while
/// requests are in progress.
#[actix_rt::test]
async fn drain_finds_the_entry_and_waits() {
    let scripts = vec![following_entry(1), draining_entry(DrainPhase::Announced, 3)];
    let deployment = TestDeployment::start(scripts).await;
    deployment.plan_and_apply(&ListFolder::from_example("irazabal")).await;
    let mut shown = String::new();
    for entry in ["entry-2", "2", deployment.nodes[1].as_str()] {
        shown += &deployment.run(&["drain", "--no-wait", entry]).await;
    }
    expect![[r#"
        exit 0
        entry 2 is removed from discovery; requests in progress: 3
        exit 0
        entry 2 is removed from discovery; requests in progress: 3
        exit 0
        entry 2 is removed from discovery; requests in progress: 3
    "#]]
    .assert_eq(&shown);
    expect![[r#"
        exit 4
        entry 2 is removed from discovery; requests in progress: 3
        --- errors
        entry 2 is removed from discovery; requests in progress: 3
    "#]]
    .assert_eq(&deployment.run(&["drain", "2"]).await);
    expect![[r#"
        exit 1
        --- errors
        error: the lists have no entry `entry-99`
    "#]]
    .assert_eq(&deployment.run(&["drain", "entry-99"]).await);
    expect![[r#"
        exit 5
        --- errors
        error: no answering entry has node 99
    "#]]
    .assert_eq(&deployment.run(&["drain", "99"]).await);
}

/// Guards against waiting forever for an entry whose drain has already finished.
#[actix_rt::test]
async fn finished_drain_is_success() {
    let deployment = TestDeployment::start(vec![draining_entry(DrainPhase::Finished, 0)]).await;
    expect![[r#"
        exit 0
        {
          "node": 2,
          "phase": "finished",
          "in_progress": 0
        }
    "#]]
    .assert_eq(&deployment.run(&["drain", "2", "--json"]).await);
}
