//! All machines are killed at once and start again, and requesters take up their streams again.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseInput, Record,
    engine::{Engine, StreamShape, configure_streams, resumed_request, stream_request},
    node::{Node, wait_for},
    plain_server::BUDGET_MS,
    store::Store,
    stream_client::{read_stream, read_stream_to},
};

/// Wanted longest pause between events, in milliseconds, as on the sheet.
const GAP_MS: u64 = 400;
const EVENTS: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(100);
const STREAMS: u32 = 24;
/// Without the kill, requesters close their channels after this event, and take their streams up again.
const CLOSE_AFTER: u32 = 20;
/// Machines and model servers of the small deployment.
const MACHINES: u32 = 9;
const SERVERS: u32 = 12;
/// The machines are killed this long after the last stream has begun, and start again after a second.
const KILL_DELAY: Duration = Duration::from_millis(2_000);
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Bound `stableMs` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);
/// Shortest pause of a requester before it tries again.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MEMORY_MB: u32 = 110;

/// A try of a requester to take its stream up again.
struct Resumption {
    stream: u32,
    sent_at: Instant,
    goes_on: bool,
}

pub fn run(input: &CaseInput) -> Vec<String> {
    let record = &input.record;
    let store = Store::start();
    configure_streams(&store, 1, GAP_MS);
    let shape = StreamShape { events: EVENTS, interval: INTERVAL, silence: None };
    let servers: Vec<Engine> = (1..=SERVERS)
        .map(|number| Engine::start(&format!("assist-{number}"), "v1", shape, record))
        .collect();
    servers.iter().for_each(|server| server.list(&store));
    let start = |number| Node::start(&input.folder, number, store.address, MEMORY_MB);
    let mut nodes: Vec<Node> = (1..=MACHINES).map(start).collect();
    wait_for("ready nodes", || nodes.iter().all(Node::is_ready));
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            let stop_after = if input.trouble { u32::MAX } else { CLOSE_AFTER };
            thread::spawn(move || follow(&fronts, number, stop_after, &record))
        })
        .collect();
    thread::sleep(KILL_DELAY);
    if input.trouble {
        record.add("SIGKILL to all machines");
        nodes.iter_mut().for_each(Node::kill);
        thread::sleep(DOWN_TIME);
        nodes.iter_mut().for_each(Node::launch);
        record.add("all machines start again");
    }
    let mut in_touch_at = Instant::now();
    let started_at = in_touch_at;
    wait_for("ready nodes", || nodes.iter().all(Node::is_ready));
    record.add("all machines are ready");
    if input.trouble {
        thread::sleep(STABLE.saturating_sub(started_at.elapsed()));
        in_touch_at = Instant::now();
    }
    record.add("all machines are in touch");
    let new_clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let at = fronts[(number % MACHINES) as usize];
            thread::spawn(move || {
                read_stream(at, &stream_request(&format!("new-{number}"), 0x100 + number))
                    .last_event
                    > 0
            })
        })
        .collect();
    let tries: Vec<Resumption> =
        clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    let begun = new_clients.into_iter().map(|client| client.join().expect("a client ends"));
    let begun = begun.filter(|begun| *begun).count();
    let counted: Vec<&Resumption> = tries.iter().filter(|it| it.sent_at >= in_touch_at).collect();
    let streams: std::collections::BTreeSet<u32> = counted.iter().map(|it| it.stream).collect();
    let gone_on = counted.iter().filter(|it| it.goes_on).count();
    let summary = format!(
        "at machines in touch, {} streams were taken up again in {} tries, of which {gone_on} went on; {begun} of {STREAMS} new streams began",
        streams.len(),
        counted.len(),
    );
    record.add(&summary);
    assert!(streams.len() >= 12, "fewer than 12 streams were taken up again");
    let share = gone_on as f64 / streams.len() as f64;
    let share_of_new = begun as f64 / f64::from(STREAMS);
    if share < share_of_new / 2.0 { vec![format!("LOST: {summary}")] } else { Vec::new() }
}

/// Reads a stream, and takes it up again while its time budget lasts if its channel breaks.
fn follow(fronts: &[SocketAddr], number: u32, stop_after: u32, record: &Record) -> Vec<Resumption> {
    let sent_at = Instant::now();
    let id = format!("ask-{number}");
    let machine = |attempt: u32| fronts[((number + attempt) % MACHINES) as usize];
    let first = read_stream_to(machine(0), &stream_request(&id, number), stop_after);
    let mut tries = Vec::new();
    if first.is_whole {
        return tries;
    }
    let mut last_event = first.last_event;
    let mut pause = MIN_PAUSE;
    let budget = Duration::from_millis(BUDGET_MS);
    for attempt in 1.. {
        thread::sleep(pause);
        let left = budget.saturating_sub(sent_at.elapsed());
        if left < INTERVAL * (EVENTS - last_event) {
            break;
        }
        let again = format!("{id}-{attempt}");
        let request = resumed_request(&again, number, last_event, &id);
        let resumed_at = Instant::now();
        let end = read_stream(machine(attempt), &request);
        let goes_on = end.last_event > last_event;
        record.add(&format!(
            "{again} takes up {id} after event {last_event}: status {}, up to event {}",
            end.status, end.last_event
        ));
        tries.push(Resumption { stream: number, sent_at: resumed_at, goes_on });
        last_event = last_event.max(end.last_event);
        if end.is_whole {
            break;
        }
        pause = end.retry_after.clamp(MIN_PAUSE, left / 3);
    }
    tries
}
