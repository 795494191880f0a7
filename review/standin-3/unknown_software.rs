//! Servers crash while the platform's store is down, and are back under their ids with newer software.
//!
//! The nodes notice, and do not know the software of the streams that begin there. When the servers crash
//! once more, these streams must not go on at the earlier software.

use std::{
    cmp::Reverse,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    UNABLE,
    deployment::{Deployment, TENANT, restart},
    record::Record,
    streams::{self, Load, Streams},
};

/// Servers that crash at a time: three of ten.
const WAVE: usize = 3;
/// How long a server is gone.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time between the two crashes, and from the beginning of the outage to the first one.
const CRASH_GAP: Duration = Duration::from_millis(3_500);
const FIRST_CRASH: Duration = Duration::from_millis(700);
/// How long the store is down.
const STORE_DOWN_TIME: Duration = Duration::from_millis(8_000);

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (10, Duration::from_millis(150));
    let Some(deployment) =
        Deployment::start(program, folder, ips, (10, 2), &["v1"], stream, &[TENANT], record)
    else {
        return UNABLE;
    };
    let fronts: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
    let load = Load {
        from: 0,
        again: fronts.iter().rev().copied().collect(),
        first: fronts,
        prefixes: streams::distinct_prefixes(),
        gap: Duration::from_millis(25),
        length: Duration::from_secs(16),
    };
    let streams = Streams::default();
    let clients = streams::begin(load, &streams, record);
    thread::sleep(Duration::from_secs(5));
    let down_at = Instant::now();
    if is_troubled {
        record.line("the store is down");
        deployment.store.set_silent(true);
    }
    thread::sleep(FIRST_CRASH);
    let mut busy = deployment.servers.clone();
    busy.sort_by_key(|server| Reverse(server.running()));
    busy.truncate(WAVE);
    restart(&busy, DOWN_TIME, "v2");
    thread::sleep(CRASH_GAP);
    restart(&busy, DOWN_TIME, "v2");
    thread::sleep(STORE_DOWN_TIME.saturating_sub(down_at.elapsed()));
    if is_troubled {
        record.line("the store is back");
        deployment.store.set_silent(false);
    }
    let _ = clients.join();
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    streams::judge(&streams, record)
}
