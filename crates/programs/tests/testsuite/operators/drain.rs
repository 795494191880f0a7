//! `carobvane drain`.

use carobvane_proto::admin::{DrainPhase, DrainReport};
use expect_test::expect;

use super::support::{Deployment, ListFolder, NodeScript, follower};

fn draining(phase: DrainPhase, in_progress: u32) -> NodeScript {
    let mut script = follower(2);
    script.drain = DrainReport { node: 2, phase, in_progress };
    script
}

/// Guards against draining another entry than the named one, and against success while requests
/// are in progress.
#[actix_rt::test]
async fn drain_finds_the_entry_and_waits() {
    let scripts = vec![follower(1), draining(DrainPhase::Announced, 3)];
    let deployment = Deployment::start(scripts).await;
    deployment.accept(&ListFolder::of_example("irazabal")).await;
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

/// Guards against an endless wait for an entry that has already finished.
#[actix_rt::test]
async fn finished_drain_is_success() {
    let deployment = Deployment::start(vec![draining(DrainPhase::Finished, 0)]).await;
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
