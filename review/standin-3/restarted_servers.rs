//! Servers start again under their ids, with newer software, while the platform's store is down.
//!
//! The idle servers come first, three of ten at a time; then come those that send streams. A stream that
//! was begun by the earlier software must not go on at the newer one.

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

/// Servers that start again at a time: three of ten.
const WAVE: usize = 3;
/// How long a server is gone.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time between two waves, and from the beginning of the outage to the first one.
const WAVE_GAP: Duration = Duration::from_millis(3_500);
const FIRST_WAVE: Duration = Duration::from_millis(700);
/// How long the store is down.
const STORE_DOWN_TIME: Duration = Duration::from_millis(8_000);
/// Shared parts of the prompts.
const PREFIXES: [&str; 3] =
    ["5c1e07a2:2520,91bd3f06:3780", "5c1e07a2:2520,77aa0c15:3780", "5c1e07a2:2520,e4402b7d:3780"];

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
    let load = Load {
        from: 0,
        again: fronts.iter().rev().copied().collect(),
        first: fronts,
        prefixes: PREFIXES.map(str::to_string).to_vec(),
        prompt: streams::LONG_PROMPT,
        gap: Duration::from_millis(200),
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
    thread::sleep(FIRST_WAVE);
    let mut old = deployment.servers.clone();
    for _ in 0..2 {
        old.sort_by_key(|server| server.running());
        let idle: Vec<_> = old.drain(..WAVE).collect();
        restart(&idle, DOWN_TIME, "v2");
        thread::sleep(WAVE_GAP);
    }
    old.sort_by_key(|server| Reverse(server.running()));
    restart(&old[..WAVE], DOWN_TIME, "v2");
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
