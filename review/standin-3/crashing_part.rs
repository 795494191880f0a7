//! A prompt part crashes each server that begins to answer it, in a service whose streams have neither a length
//! nor chunks.
//!
//! Sound requests that share the first part with the deadly ones must go on to begin.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    BROKEN, HELD, UNABLE,
    deployment::{Deployment, TENANT, restart},
    record::Record,
    server::{DEADLY_PART, ModelServer},
    streams::{self, Load, Stream, Streams},
};

/// Servers and nodes.
const PARTS: (usize, usize) = (12, 3);
/// Part with which all prompts begin.
const FIRST_PART: &str = "5c1e07a2:198";
/// A server that has crashed is back after this time.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time of sound requests before the first deadly one, and how long such requests come.
const SOUND_LEAD: Duration = Duration::from_secs(6);
const DEADLY_TIME: Duration = Duration::from_secs(33);
/// The rule holds from this time after the fifth crash: 2 x `stableMs`.
const GRACE: Duration = Duration::from_secs(6);
const COUNTED_CRASHES: usize = 5;
/// The rule needs this many requests of each time.
const MIN_REQUESTS: usize = 20;

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (6, Duration::from_millis(100));
    let Some(deployment) =
        Deployment::start(program, folder, ips, PARTS, &["v1"], stream, &[TENANT], record)
    else {
        return UNABLE;
    };
    deployment.servers.iter().for_each(|server| server.send_unframed());
    let fronts: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
    let sound = Load {
        from: 0,
        again: fronts[1..].iter().chain(&fronts[..1]).copied().collect(),
        first: fronts,
        prefixes: vec![FIRST_PART.to_string()],
        gap: Duration::from_millis(50),
        length: SOUND_LEAD + DEADLY_TIME,
    };
    let deadly = Load {
        from: 100_000,
        prefixes: vec![format!("{FIRST_PART},{DEADLY_PART}:100")],
        gap: Duration::from_secs(1),
        length: DEADLY_TIME,
        ..sound.clone()
    };
    let (streams, deadly_streams) = (Streams::default(), Streams::default());
    let mut clients = vec![streams::begin(sound, &streams, record)];
    thread::sleep(SOUND_LEAD);
    let deadly_from = Instant::now();
    if is_troubled {
        record.line("the first deadly request comes");
        clients.push(streams::begin(deadly, &deadly_streams, record));
    }
    let crashes = restart_crashed(&deployment.servers, deadly_from + DEADLY_TIME);
    clients.into_iter().for_each(|client| drop(client.join()));
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    record.line(&format!("{} crashes", crashes.len()));
    let last_counted = crashes.iter().take(COUNTED_CRASHES).last().copied();
    let judged_from = last_counted.unwrap_or(deadly_from) + GRACE;
    let streams = streams.lock().unwrap();
    let before = begun(&streams, deadly_from - SOUND_LEAD, deadly_from);
    let after = begun(&streams, judged_from, deadly_from + DEADLY_TIME);
    judge(before, after, record)
}

/// Lets servers that crash start again. Returns when each one crashed.
fn restart_crashed(servers: &[Arc<ModelServer>], until: Instant) -> Vec<Instant> {
    let mut crashes = Vec::new();
    let mut back_at = vec![None; servers.len()];
    while Instant::now() < until {
        let now = Instant::now();
        for (server, back_at) in servers.iter().zip(&mut back_at) {
            if back_at.is_none() && server.has_ended() {
                crashes.push(now);
                *back_at = Some(now + DOWN_TIME + Duration::from_millis(100));
                restart(std::slice::from_ref(server), DOWN_TIME, "v1");
            } else if back_at.is_some_and(|at| at <= now) {
                *back_at = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    crashes
}

/// Of the requests of a time, how many there were, and how many began at the first try.
fn begun(streams: &[Stream], from: Instant, to: Instant) -> (usize, usize) {
    let sent = streams.iter().filter(|stream| (from..to).contains(&stream.begun_at));
    (sent.clone().count(), sent.filter(|stream| stream.first_events > 0).count())
}

fn judge(before: (usize, usize), after: (usize, usize), record: &Record) -> i32 {
    let share = |(sent, begun): (usize, usize)| begun as f64 / sent.max(1) as f64;
    record.line(&format!(
        "sound requests that began at the first try: {} of {} before, {} of {} later than 6 s after the fifth crash",
        before.1, before.0, after.1, after.0
    ));
    if before.0 < MIN_REQUESTS || after.0 < MIN_REQUESTS || share(before) < 0.5 {
        return UNABLE;
    }
    if share(after) < share(before) / 2.0 { BROKEN } else { HELD }
}
