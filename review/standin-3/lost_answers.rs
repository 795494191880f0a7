//! Servers of two software versions serve side by side. Some answers are lost, and then servers crash.
//!
//! Streams that break off are taken up by their clients. They must go on half as often as new ones begin.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{
    BROKEN, HELD, UNABLE,
    deployment::{Deployment, TENANT, restart},
    record::Record,
    server::ModelServer,
    streams::{self, Load, Stream, Streams},
};

/// Servers, of both versions, and nodes.
const SERVERS: usize = 12;
const NODES: usize = 9;
/// Servers whose answers are lost: a share of 0.6 at most.
const LOSING_SERVERS: usize = 7;
/// Of a hundred answers, how many are lost, and for how long.
const LOST_PERCENT: u64 = 30;
const LOSS_TIME: Duration = Duration::from_secs(6);
/// Servers that crash at a time: a share of 0.3 at most. They are gone for a second.
const CRASHED_SERVERS: usize = 3;
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time between two crashes.
const CRASH_GAP: Duration = Duration::from_millis(3_500);
/// Fewer streams that are taken up say nothing.
const MIN_RESUMED: usize = 12;

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (18, Duration::from_millis(200));
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
        record.line("three in ten answers of seven servers are lost");
        let losing = &deployment.servers[..LOSING_SERVERS];
        losing.iter().for_each(|server| server.lose_answers(LOST_PERCENT));
    }
    thread::sleep(LOSS_TIME - CRASH_GAP);
    crash(&deployment.servers[..CRASHED_SERVERS], &software);
    thread::sleep(CRASH_GAP);
    record.line("no answer is lost any more");
    deployment.servers.iter().for_each(|server| server.lose_answers(0));
    crash(&deployment.servers[CRASHED_SERVERS..2 * CRASHED_SERVERS], &software);
    let _ = clients.join();
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    judge(&streams.lock().unwrap(), record)
}

/// Lets servers crash at once. They come back with the software that they had.
fn crash(servers: &[Arc<ModelServer>], software: &[&'static str; 2]) {
    for server in servers {
        let place = usize::from(server.id.ends_with(['1', '3', '5', '7', '9', 'b']));
        restart(std::slice::from_ref(server), DOWN_TIME, software[place]);
    }
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
