//! Servers of two software versions serve side by side, and some of them break off answers.
//!
//! Streams that break off are taken up by their clients. They must go on half as often as new ones begin.

use std::{path::Path, thread, time::Duration};

use crate::{
    BROKEN, HELD, UNABLE,
    deployment::{Deployment, TENANT},
    record::Record,
    streams::{self, Load, Stream, Streams},
};

/// Servers, of both versions, and nodes.
const SERVERS: usize = 12;
const NODES: usize = 9;
/// Servers that break off answers: a share of 0.6 at most.
const LOSING_SERVERS: usize = 7;
/// Of a hundred answers, how many they break off, and for how long.
const LOST_PERCENT: u64 = 30;
const LOSS_TIME: Duration = Duration::from_secs(6);
/// Fewer streams that are taken up say nothing.
const MIN_RESUMED: usize = 12;

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (12, Duration::from_millis(150));
    let software = ["v1", "v2"];
    let Some(deployment) = Deployment::start(
        program,
        folder,
        ips,
        (SERVERS, NODES),
        &software,
        stream,
        &[TENANT],
        record,
    ) else {
        return UNABLE;
    };
    let fronts: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
    let load = Load {
        from: 0,
        again: fronts[1..].iter().chain(&fronts[..1]).copied().collect(),
        first: fronts,
        prefixes: streams::distinct_prefixes(),
        gap: Duration::from_millis(15),
        length: Duration::from_secs(14),
    };
    let streams = Streams::default();
    let clients = streams::begin(load, &streams, record);
    thread::sleep(Duration::from_secs(5));
    if is_troubled {
        record.line("seven servers break off three in ten of their answers");
        deployment.servers[..LOSING_SERVERS]
            .iter()
            .for_each(|server| server.lose_answers(LOST_PERCENT));
    }
    thread::sleep(LOSS_TIME);
    record.line("no server breaks off answers");
    deployment.servers.iter().for_each(|server| server.lose_answers(0));
    let _ = clients.join();
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    judge(&streams.lock().unwrap(), record)
}

fn judge(streams: &[Stream], record: &Record) -> i32 {
    let begun = streams.iter().filter(|stream| stream.first_events > 0).count();
    let resumed = streams.iter().filter(|stream| stream.tries > 1 && stream.first_events > 0);
    let gone_on = resumed
        .clone()
        .filter(|stream| stream.ids.len() > stream.first_events || stream.is_complete);
    let (resumed, gone_on) = (resumed.count(), gone_on.count());
    let share = begun as f64 / streams.len().max(1) as f64;
    let share_on = gone_on as f64 / resumed.max(1) as f64;
    record.line(&format!(
        "{} streams, {begun} begun at the first try ({share:.2}), {resumed} taken up, {gone_on} of them went on ({share_on:.2})",
        streams.len()
    ));
    if resumed >= MIN_RESUMED && share_on < share / 2.0 {
        return BROKEN;
    }
    if share < 0.5 { UNABLE } else { HELD }
}
