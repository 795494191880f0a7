//! Clients read their answers slowly while their machine is stopped in a planned way.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseInput, Record,
    http::{read_head, read_slowly},
    node::{Node, wait_for},
    plain_server::{BUDGET_MS, PlainServer, ServerShape, configure, list, request},
    store::Store,
};

/// Size of an answer.
const ANSWER_BYTES: usize = 400_000;
/// Clients read this much, then pause: 560 kbit/s, so that an answer takes some 6 s of the budget of 15 s.
const PIECE_BYTES: usize = 7_000;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// SIGTERM comes this long after the last request was sent.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Bound `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Memory of a machine of the small deployment.
const MEMORY_MB: u32 = 110;

pub fn run(input: &CaseInput) -> Vec<String> {
    let record = &input.record;
    let store = Store::start();
    configure(&store, 1);
    let shape =
        ServerShape { slots: 6, queue: 24, work: Duration::ZERO, answer_bytes: ANSWER_BYTES };
    let servers = ["desk-1", "desk-2"].map(|name| PlainServer::start(name, shape));
    servers.iter().for_each(|server| list(&store, server));
    let nodes = [1, 2].map(|number| Node::start(&input.folder, number, store.address, MEMORY_MB));
    wait_for("ready nodes", || nodes.iter().all(Node::is_ready));
    // Both machines are calm for longer than `stableMs` before the first request.
    thread::sleep(Duration::from_secs(4));
    let sent_after = Instant::now();
    let clients: Vec<_> = ["book-1", "book-2", "read-1", "read-2"]
        .into_iter()
        .map(|id| {
            let (front, record) = (nodes[0].front, record.clone());
            thread::spawn(move || {
                let outcome = ask(front, id, &record);
                (id, (Instant::now(), outcome))
            })
        })
        .collect();
    thread::sleep(STOP_DELAY);
    let stopped_at = Instant::now();
    if input.trouble {
        record.add("SIGTERM to machine 1; the platform would send SIGKILL 8 s later");
        nodes[0].signal("TERM");
    }
    let mut breaks = Vec::new();
    for client in clients {
        let (id, outcome) = client.join().expect("a client ends");
        let is_answered = |server: &PlainServer| {
            server.arrivals().get(id).is_some_and(|arrival| arrival.is_answered)
        };
        let was_answered = servers.iter().any(is_answered);
        assert!(was_answered, "no server has answered {id}");
        // Later cuts, and those after the time budget, are not counted by the rule.
        let (ended_at, outcome) = outcome;
        let is_counted = ended_at < stopped_at + GRACE + Duration::from_secs(1)
            && ended_at < sent_after + Duration::from_millis(BUDGET_MS);
        if let Err(cause) = outcome {
            if !is_counted {
                continue;
            }
            breaks.push(format!("LOST: {id} was run and answered by a server, but {cause}"));
        }
    }
    breaks
}

/// Sends a request on a channel of its own and reads the answer slowly.
fn ask(front: SocketAddr, id: &str, record: &Record) -> Result<(), String> {
    let mut stream = TcpStream::connect(front).expect("the machine takes channels");
    let route = id.split('-').next().unwrap_or_default();
    stream.write_all(request(route, id).as_bytes()).expect("the request is sent");
    let sent_at = Instant::now();
    record.add(&format!("client sent {id}"));
    // The buffer is smaller than a piece, so that reads are as slow as they seem.
    let mut reader = BufReader::with_capacity(1_024, stream);
    let head = read_head(&mut reader).expect("an answer begins");
    let length: usize = head.header("content-length").parse().expect("an answer with a length");
    assert_eq!((head.status(), length), (200, ANSWER_BYTES), "an answer to {id}");
    let (read, end) = read_slowly(&mut reader, length, PIECE_BYTES, PIECE_PAUSE);
    let seconds = sent_at.elapsed().as_secs_f64();
    let end = end.map_err(|cause| {
        format!("its client got {read} of {length} bytes: the channel ended after {seconds:.1} s ({cause})")
    });
    match &end {
        Ok(()) => record.add(&format!("client has the whole answer to {id} after {seconds:.1} s")),
        Err(cause) => record.add(&format!("{id}: {cause}")),
    }
    end
}
