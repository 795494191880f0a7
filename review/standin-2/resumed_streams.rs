//! A machine is killed just after the first server of a new software version has come, and requesters take
//! up their streams again at the other machines.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    CaseInput, Record,
    engine::{Engine, StreamShape, configure_streams, resumed_request, stream_request},
    node::{Node, wait_for},
    store::Store,
    stream_client::{read_stream, read_stream_to},
};

/// Wanted longest pause between events, in milliseconds, as on the sheet.
const GAP_MS: u64 = 400;
const EVENTS: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(100);
const STREAMS: u32 = 16;
/// Without the kill, requesters close their channels after this event, and take their streams up again.
const CLOSE_AFTER: u32 = 20;
/// Machines, and servers of the old version, as in the small deployment.
const MACHINES: u32 = 9;
const OLD_SERVERS: u32 = 12;
/// The server of the new version comes this long after the last stream has begun, and the machine is
/// killed this long after that.
const RELEASE_DELAY: Duration = Duration::from_millis(1_000);
const KILL_DELAY: Duration = Duration::from_millis(1_000);
/// A requester connects anew this long after its channel broke.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const MEMORY_MB: u32 = 110;

pub fn run(input: &CaseInput) -> Vec<String> {
    let record = &input.record;
    let store = Store::start();
    configure_streams(&store, 1, GAP_MS);
    let shape = StreamShape { events: EVENTS, interval: INTERVAL, silence: None };
    let start = |name: &str, software: &str| Engine::start(name, software, shape, record);
    let old: Vec<Engine> =
        (1..=OLD_SERVERS).map(|number| start(&format!("assist-{number}"), "v1")).collect();
    let new = start("assist-new", "v2");
    old.iter().for_each(|engine| engine.list(&store));
    let start = |number| Node::start(&input.folder, number, store.address, MEMORY_MB);
    let nodes: Vec<Node> = (1..=MACHINES).map(start).collect();
    wait_for("ready nodes", || nodes.iter().all(Node::is_ready));
    // All machines are calm for longer than `stableMs`.
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    // Requesters spread over the machines that are left.
    let other = |number: u32| fronts[1 + (number % (MACHINES - 1)) as usize];
    let clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let record = record.clone();
            let (first, next) = (fronts[0], other(number));
            let stop_after = if input.trouble { u32::MAX } else { CLOSE_AFTER };
            thread::spawn(move || follow(first, next, number, stop_after, &record))
        })
        .collect();
    thread::sleep(RELEASE_DELAY);
    new.list(&store);
    record.add("a server of version v2 has come; all of v1 go on serving");
    thread::sleep(KILL_DELAY);
    if input.trouble {
        record.add("SIGKILL to machine 1");
        nodes[0].signal("KILL");
    }
    // New streams at the same time, at the machines where the others are taken up.
    thread::sleep(RECONNECT_DELAY);
    let begun: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let (record, at) = (record.clone(), other(number));
            thread::spawn(move || {
                let id = format!("new-{number}");
                let end = read_stream(at, &stream_request(&id, 0x100 + number));
                record.add(&format!("{id}: status {}, event {}", end.status, end.last_event));
                end.last_event > 0
            })
        })
        .collect();
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().expect("an end")).collect();
    let begun: Vec<bool> = begun.into_iter().map(|client| client.join().expect("an end")).collect();
    let taken_up = ends.iter().flatten().count();
    let gone_on = ends.iter().flatten().filter(|goes_on| **goes_on).count();
    let new_begun = begun.iter().filter(|begun| **begun).count();
    record.add(&format!(
        "{taken_up} streams were taken up again, {gone_on} of them went on; {new_begun} of {STREAMS} new streams began"
    ));
    assert!(taken_up >= 12, "fewer than 12 streams were taken up again");
    let share = gone_on as f64 / taken_up as f64;
    let share_of_new = new_begun as f64 / f64::from(STREAMS);
    if share >= share_of_new / 2.0 {
        return Vec::new();
    }
    vec![format!(
        "LOST: {gone_on} of {taken_up} streams went on that were taken up again, though {new_begun} of {STREAMS} new ones began"
    )]
}

/// Reads a stream at one machine, and takes it up again at another one if its channel breaks. Returns
/// whether it went on, or `None` if it was whole at once.
fn follow(
    first: SocketAddr,
    next: SocketAddr,
    number: u32,
    stop_after: u32,
    record: &Record,
) -> Option<bool> {
    let id = format!("ask-{number}");
    let end = read_stream_to(first, &stream_request(&id, number), stop_after);
    if end.is_whole {
        return None;
    }
    record.add(&format!("{id}: its channel broke after event {}", end.last_event));
    // One retry, and one more if the first is refused with a promise.
    let mut pause = RECONNECT_DELAY;
    for attempt in 1..=2 {
        thread::sleep(pause);
        let again = format!("{id}-{attempt}");
        let request = resumed_request(&again, number, end.last_event, &id);
        let resumed = read_stream(next, &request);
        record.add(&format!(
            "{again} takes up {id} after event {}: status {}, up to event {}",
            end.last_event, resumed.status, resumed.last_event
        ));
        if resumed.last_event > end.last_event {
            return Some(true);
        }
        pause = resumed.retry_after.clamp(RECONNECT_DELAY, Duration::from_secs(4));
    }
    Some(false)
}
