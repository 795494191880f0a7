//! The platform's store comes back from a copy that is older than the latest start of some servers.
//!
//! Three of ten servers, which send no streams, start again under their ids with newer software, which the
//! nodes learn from the store. In the restored store, their entries are those of the earlier start until the servers write them
//! again. A stream that begins at the newer software must not go on at the earlier one.

use std::{path::Path, thread, time::Duration};

use crate::{
    UNABLE,
    deployment::{Deployment, TENANT, restart},
    record::Record,
    streams::{self, Load, Streams},
};

/// Servers that start again: three of ten.
const WAVE: usize = 3;
/// How long a server is gone.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time from the copy to the new start.
const COPY_LEAD: Duration = Duration::from_millis(300);
/// Time from the end of the servers until the store is away, and how long it is.
const START_LEAD: Duration = Duration::from_millis(2_000);
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Time from the return of the store until the servers crash.
const RETURN_LEAD: Duration = Duration::from_millis(1_300);

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (12, Duration::from_millis(250));
    let Some(deployment) =
        Deployment::start(program, folder, ips, (10, 2), &["v1"], stream, &[TENANT], record)
    else {
        return UNABLE;
    };
    let fronts: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
    // At first, all prompts have a part in common, so that some servers get no streams.
    let load = Load {
        from: 0,
        again: fronts.iter().rev().copied().collect(),
        first: fronts,
        prefixes: vec!["5c1e07a2:198".to_string()],
        gap: Duration::from_millis(100),
        length: Duration::from_secs(6),
    };
    let streams = Streams::default();
    let first = streams::begin(load.clone(), &streams, record);
    thread::sleep(Duration::from_secs(4));
    record.line("a copy of the store is made");
    deployment.store.make_copy();
    thread::sleep(COPY_LEAD);
    let mut idle = deployment.servers.clone();
    idle.sort_by_key(|server| server.running());
    idle.truncate(WAVE);
    restart(&idle, DOWN_TIME, "v2");
    thread::sleep(START_LEAD);
    let spread = Load {
        from: 10_000,
        prefixes: streams::distinct_prefixes(),
        gap: Duration::from_millis(14),
        length: Duration::from_secs(6),
        ..load
    };
    let second = streams::begin(spread, &streams, record);
    if is_troubled {
        record.line("the store is away");
        deployment.store.set_silent(true);
    }
    thread::sleep(AWAY_TIME);
    if is_troubled {
        record.line("the store is back from the copy");
        deployment.store.restore();
    }
    thread::sleep(RETURN_LEAD);
    restart(&idle, DOWN_TIME, "v2");
    let _ = first.join();
    let _ = second.join();
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    streams::judge(&streams, record)
}
