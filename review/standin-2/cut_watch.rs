//! A server leaves without a word while a watch of the store has just been cut.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseInput,
    http::read_message,
    node::{Node, wait_for},
    plain_server::{PlainServer, ServerShape, configure, list, request},
    store::Store,
};

/// Bound `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The server that leaves ends this much later than that.
const EXTRA: Duration = Duration::from_millis(200);
/// Clients, each with one request at a time.
const CLIENTS: usize = 40;
const MEMORY_MB: u32 = 110;

pub fn run(input: &CaseInput) -> Vec<String> {
    let record = &input.record;
    let store = Store::start();
    configure(&store, 1);
    let shape =
        ServerShape { slots: 6, queue: 24, work: Duration::from_millis(60), answer_bytes: 800 };
    let servers = ["desk-1", "desk-2"].map(|name| PlainServer::start(name, shape));
    servers.iter().for_each(|server| list(&store, server));
    let node = Node::start(&input.folder, 1, store.address, MEMORY_MB);
    wait_for("a ready node", || node.is_ready());
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let ends = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (is_over, count, ends) = (is_over.clone(), count.clone(), ends.clone());
            let front = node.front;
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("b{}", count.fetch_add(1, Ordering::SeqCst));
                    let status = ask(front, &id);
                    ends.lock().expect("no panic").push((id, status, Instant::now()));
                    if status != 200 {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if input.trouble {
        wait_for("a watch", || store.waiting_watches() > 0);
        store.cut_watches();
        record.add("the store cuts the watch that waits");
        wait_for("the next watch", || store.waiting_watches() > 0);
    }
    store.delete("servers/desk-1");
    let gone_at = Instant::now();
    record.add("the store acknowledges that desk-1 removes its entry");
    thread::sleep(DRAIN + EXTRA);
    servers[0].exit();
    record.add("desk-1 exits");
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    let mut late = 0;
    let mut lost = 0;
    let ends = ends.lock().expect("no panic");
    for (id, arrival) in servers[0].arrivals() {
        let after = arrival.at.saturating_duration_since(gone_at);
        if arrival.at <= gone_at {
            continue;
        }
        let end = ends.iter().find(|(known, ..)| *known == id).map_or(0, |(_, status, _)| *status);
        let ms = after.as_millis();
        record.add(&format!(
            "desk-1 got {id} {ms} ms after the acknowledgement; its client got {end}"
        ));
        if after > DRAIN {
            late += 1;
            lost += usize::from(end != 200);
        }
    }
    let mut counts = std::collections::BTreeMap::new();
    ends.iter().for_each(|(_, status, _)| *counts.entry(*status).or_insert(0) += 1);
    record.add(&format!("ends of all requests: {counts:?}"));
    if late == 0 {
        return Vec::new();
    }
    vec![format!(
        "DRAIN: {late} bookings reached desk-1 later than drainMs, of which {lost} were lost"
    )]
}

/// Sends a booking on a channel of its own. Returns the status of the answer; 0 without one.
fn ask(front: SocketAddr, id: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(front) else { return 0 };
    if stream.write_all(request("book", id).as_bytes()).is_err() {
        return 0;
    }
    read_message(&mut BufReader::new(stream)).map_or(0, |answer| answer.status())
}
