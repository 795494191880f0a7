//! A model server falls silent for a moment in the middle of its streams, while it is the last one with
//! its software version.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    CaseInput, Record,
    engine::{Engine, StreamShape, configure_streams, stream_request},
    node::{Node, wait_for},
    store::Store,
    stream_client::read_stream,
};

/// Wanted longest pause between events, in milliseconds.
const GAP_MS: u64 = 200;
const EVENTS: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(100);
/// The server is silent for this long after event 10.
const SILENCE: (u32, Duration) = (10, Duration::from_millis(1_200));
const STREAMS: u32 = 8;
const MEMORY_MB: u32 = 110;

pub fn run(input: &CaseInput) -> Vec<String> {
    let record = &input.record;
    let store = Store::start();
    configure_streams(&store, 1, GAP_MS);
    let sound = StreamShape { events: EVENTS, interval: INTERVAL, silence: None };
    let silent = StreamShape { silence: input.trouble.then_some(SILENCE), ..sound };
    // A release is under way: one server is left of the old version.
    let old = Engine::start("assist-old", "v1", silent, record);
    let new = Engine::start("assist-new", "v2", sound, record);
    old.list(&store);
    new.list(&store);
    let node = Node::start(&input.folder, 1, store.address, MEMORY_MB);
    wait_for("a ready node", || node.is_ready());
    thread::sleep(Duration::from_secs(4));
    node.signal("HUP");
    record.add("SIGHUP to the machine");
    let clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let (front, record) = (node.front, record.clone());
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || {
                let id = format!("ask-{number}");
                let outcome = ask(front, &id, number, &record);
                (id, outcome)
            })
        })
        .collect();
    let mut breaks = Vec::new();
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().expect("an end")).collect();
    let at_old = old.progress();
    assert!(!at_old.is_empty(), "no stream began at the old version");
    for (id, outcome) in ends {
        if let Err(cause) = outcome {
            let server = if at_old.contains_key(&id) { "assist-old" } else { "assist-new" };
            breaks.push(format!("LOST: {id} ran at {server}, but {cause}"));
        }
    }
    breaks
}

/// Sends a request and reads the stream. Fails if the channel ends before the end of the stream.
fn ask(front: SocketAddr, id: &str, part: u32, record: &Record) -> Result<(), String> {
    let end = read_stream(front, &stream_request(id, part));
    let (last, seconds) = (end.last_event, end.took.as_secs_f64());
    assert_eq!(end.status, 200, "the answer to {id}");
    if end.is_whole {
        record.add(&format!("{id}: whole stream, {last} events"));
        return Ok(());
    }
    let text = format!(
        "its channel ended after event {last} of {EVENTS}, {seconds:.1} s after it was sent"
    );
    record.add(&format!("{id}: {text}"));
    Err(text)
}
