//! The cases. Each returns how the rule was broken; nothing if it held.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    base::{Message, Node, Record, exchange, sleep_ms, wait_until},
    server::{Behaviour, Caches, Order, Server, ServerSpec},
    store::Store,
};

pub struct Setting {
    pub record: Record,
    /// Temporary folder for settings and logs of the nodes.
    pub folder: String,
    pub trouble: bool,
}

const HOST: &str = "host.example";
const MODEL: &str = "m0";
const START_LIMIT: Duration = Duration::from_secs(15);
const QUICK: Behaviour =
    Behaviour { events: 4, gap: Duration::from_millis(5), cold_ms: 0, spoil_every: 0 };

/// Config with one streaming route to one service of engines, or of servers without a model.
fn config(version: u64, service: &str, is_engine: bool, tenants: &str) -> String {
    let engine = if is_engine {
        format!(
            r#","engine":{{"slots":64,"kvCapacity":100000,"kvTokenBytes":163840,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"maxConcurrency":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}"#
        )
    } else {
        String::new()
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"drafts","host":"{HOST}","prefix":"/drafts/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":"{service}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":400}}],"services":[{{"name":"{service}","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}{tenants}}}"#
    )
}

/// Starts nodes and waits until each is ready and registered.
fn start_nodes(setting: &Setting, store: &Store, count: usize) -> Vec<Node> {
    let nodes = 1..=count;
    let nodes = nodes.map(|number| Node::start(&setting.folder, number, store.address, true));
    let nodes: Vec<Node> = nodes.collect();
    wait_until("the nodes are not ready", START_LIMIT, || nodes.iter().all(Node::is_ready));
    wait_until("the nodes are not registered", START_LIMIT, || {
        store.count("carobvane/members/") == count
    });
    setting.record.add(&format!("{count} nodes are ready"));
    nodes
}

/// A request of a client, with further headers.
fn request(id: &str, headers: &str) -> String {
    let body = format!("the prompt of {id}");
    format!(
        "POST /drafts/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n{headers}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and records the answer.
fn ask(record: &Record, front: SocketAddr, id: &str, headers: &str) -> Option<Message> {
    let answer = exchange(front, &request(id, headers), Duration::from_secs(6));
    match answer {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).replace('\n', "|");
            record.add(&format!(
                "client: {id} answered {}, proof {:?}, body {body:?}",
                answer.status(),
                answer.header("response-signature")
            ));
            Some(answer)
        }
        Err(cause) => {
            record.add(&format!("client: {id} got no whole answer: {cause}"));
            None
        }
    }
}

/// Rule ONE: answers of the store are lost, and two of the writes are carried out late.
pub fn late_record(setting: &Setting) -> Vec<String> {
    const LEASE_MS: u128 = 3_000;
    const ORDERED_KEY: &str = "carobvane/ordered";
    let record = &setting.record;
    let store = Store::start(record);
    let caches = Caches::default();
    let servers = ["i-1", "i-2", "i-3", "i-4", "i-5"].map(|id| {
        let spec = ServerSpec {
            id,
            service: "models",
            software: "v1",
            model: Some(MODEL),
            behaviour: QUICK,
        };
        let server = Server::start(&store, record, &spec, &caches);
        server.register();
        server
    });
    store.put("op/config", &config(1, "models", true, ""));
    let name_version = |version: u64| {
        store.put("op/version/m0", &format!(r#"{{"model":"m0","version":{version}}}"#));
    };
    name_version(1);
    let _nodes = start_nodes(setting, &store, 2);
    let holder = || store.get("carobvane/holder").unwrap_or_default();
    wait_until("no node holds the lease", START_LIMIT, || !holder().is_empty());
    sleep_ms(4_000);
    let renewals = store.renewals();
    wait_until("the lease is not renewed", START_LIMIT, || store.renewals() > renewals);
    store.take_counts();
    let first = holder();
    let start = Instant::now();
    let until = |ms: u64| {
        thread::sleep(Duration::from_millis(ms).saturating_sub(start.elapsed()));
    };
    if setting.trouble {
        store.delay_write(ORDERED_KEY, 2, Duration::from_millis(1_400));
    }
    name_version(2);
    until(1_550);
    if setting.trouble {
        store.lose_renewals(1, false);
    }
    until(2_420);
    if setting.trouble {
        wait_until("the late write was not made", START_LIMIT, || store.late_done() == 1);
        record.add(&format!("record of orders: {:?}", store.get(ORDERED_KEY)));
        store.delay_write(ORDERED_KEY, 0, Duration::from_millis(1_200));
        store.lose_renewals(2, true);
    }
    name_version(3);
    until(3_950);
    if setting.trouble {
        wait_until("the late write was not made", START_LIMIT, || store.late_done() == 2);
        record.add(&format!("record of orders: {:?}", store.get(ORDERED_KEY)));
    }
    name_version(4);
    until(4_600);
    let (calls, lost) = store.take_counts();
    record
        .add(&format!("answers lost: {lost} of {calls} calls that write; first holder {first:?}"));
    sleep_ms(6_000);
    let mut findings = Vec::new();
    for server in &servers {
        let orders = server.orders.lock().expect("no panic");
        for three in orders.windows(3) {
            let gap = three[2].at.duration_since(three[0].at).as_millis();
            let takes_turns =
                three[0].holder == three[2].holder && three[0].holder != three[1].holder;
            if takes_turns && gap < LEASE_MS {
                let orders = three.iter().map(|order| {
                    let Order { holder, fencing, version, status, .. } = order;
                    format!("{holder} (fence {fencing}, version {version}, status {status})")
                });
                let orders: Vec<String> = orders.collect();
                findings.push(format!(
                    "{} got orders of holders that take turns within {gap} ms: {}",
                    server.id,
                    orders.join(", then ")
                ));
            }
        }
    }
    findings
}

/// Rule MIXED: a server spoils some of its answers, which then lack the proof.
pub fn unsigned_stream(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let store = Store::start(record);
    let caches = Caches::default();
    // One of three servers spoils one answer in fifty.
    let spoil = if setting.trouble { 50 } else { 0 };
    let servers = [("i-1", spoil), ("i-2", 0), ("i-3", 0)].map(|(id, spoil_every)| {
        let behaviour = Behaviour { spoil_every, ..QUICK };
        let spec =
            ServerSpec { id, service: "models", software: "v1", model: Some(MODEL), behaviour };
        let server = Server::start(&store, record, &spec, &caches);
        server.register();
        server
    });
    store.put("op/config", &config(1, "models", true, ""));
    store.put("op/version/m0", r#"{"model":"m0","version":1}"#);
    let nodes = start_nodes(setting, &store, 2);
    sleep_ms(3_500);
    let start = Instant::now();
    let clients = (0..4_usize).map(|client| {
        let (record, front) = (record.clone(), nodes[client % nodes.len()].front);
        thread::spawn(move || {
            let mut findings = Vec::new();
            let mut number = 0;
            while start.elapsed() < Duration::from_secs(5) {
                number += 1;
                let id = format!("c{client}-{number}");
                let headers = format!("Model: {MODEL}\r\nToken-Usage: 300,20\r\n");
                let Some(answer) = ask(&record, front, &id, &headers) else { continue };
                let is_success = (200..300).contains(&answer.status());
                if is_success && answer.header("response-signature").is_none() {
                    findings.push(format!("{id} was answered {} without a proof", answer.status()));
                }
            }
            findings
        })
    });
    let clients: Vec<_> = clients.collect();
    let findings = clients.into_iter().flat_map(|client| client.join().expect("a client"));
    let findings: Vec<String> = findings.collect();
    let spoilt = servers.iter().map(|server| server.spoilt.load(Ordering::SeqCst)).sum::<u64>();
    record.add(&format!("answers that were spoilt: {spoilt}"));
    findings
}

/// Rule WALL: a config makes a tenant isolated whose parts are cached.
pub fn isolation(setting: &Setting) -> Vec<String> {
    let tenants = |isolated: bool| {
        format!(
            r#","tenants":[{{"name":"clinic","apiKeys":["key-clinic"],"isolated":{isolated}}},{{"name":"ward","apiKeys":["key-ward"],"isolated":false}}]"#
        )
    };
    let record = &setting.record;
    let store = Store::start(record);
    let caches = Caches::default();
    let servers = ["i-1", "i-2"].map(|id| {
        let spec = ServerSpec {
            id,
            service: "models",
            software: "v1",
            model: Some(MODEL),
            behaviour: QUICK,
        };
        let server = Server::start(&store, record, &spec, &caches);
        server.register();
        server
    });
    store.put("op/config", &config(1, "models", true, &tenants(false)));
    store.put("op/version/m0", r#"{"model":"m0","version":1}"#);
    let nodes = start_nodes(setting, &store, 2);
    sleep_ms(3_500);
    let send = |tenant: &str, number: usize| {
        let id = format!("{tenant}-{number}");
        let headers = format!(
            "Authorization: Token key-{tenant}\r\nModel: {MODEL}\r\nToken-Usage: 1000,20\r\nPrompt-Prefix: 5c1e07a2:800,{number:x}:200\r\n"
        );
        ask(record, nodes[number % nodes.len()].front, &id, &headers);
    };
    (0..6).for_each(|number| send("clinic", number));
    if setting.trouble {
        store.put("op/config", &config(2, "models", true, &tenants(true)));
    }
    // Longer than configApplyMs and stableMs.
    sleep_ms(4_000);
    let before: usize = servers.iter().map(|it| it.shared.lock().expect("no panic").len()).sum();
    record.add(&format!("{before} uses before; now requests of the other tenant"));
    (100..112).for_each(|number| send("ward", number));
    if !setting.trouble {
        // No tenant is isolated, so they may share.
        return Vec::new();
    }
    let uses = servers.iter().flat_map(|it| it.shared.lock().expect("no panic").clone());
    uses.map(|it| {
        format!(
            "{} of {} used part {} that a request of {} had made, which is isolated",
            it.request, it.user, it.part, it.maker
        )
    })
    .collect()
}

/// Rule ORDER: a server starts again with other software while the store is down.
pub fn upgrade(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let store = Store::start(record);
    let caches = Caches::default();
    let behaviour =
        Behaviour { events: 40, gap: Duration::from_millis(50), cold_ms: 0, spoil_every: 0 };
    let spec =
        |id, software| ServerSpec { id, service: "drafting", software, model: None, behaviour };
    let servers = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"].map(|id| {
        let server = Server::start(&store, record, &spec(id, "v1"), &caches);
        server.register();
        server
    });
    store.put("op/config", &config(1, "drafting", false, ""));
    let nodes = start_nodes(setting, &store, 3);
    sleep_ms(3_500);
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let send = |name: &str, count: usize, gap_ms: u64| {
        let clients = (0..count).map(|number| {
            let (record, front) = (record.clone(), fronts[number % fronts.len()]);
            let id = format!("{name}-{number}");
            thread::spawn(move || {
                sleep_ms(gap_ms * number as u64);
                (id.clone(), ask(&record, front, &id, ""))
            })
        });
        clients.collect::<Vec<_>>()
    };
    for client in send("before", 42, 15) {
        client.join().expect("a client");
    }
    sleep_ms(500);
    if setting.trouble {
        store.set_busy(true);
    }
    sleep_ms(300);
    record.add("i-1 ends; no request is in flight there");
    servers[0].stop();
    sleep_ms(1_000);
    let start_again = || TcpListener::bind(servers[0].address).expect("the address is free");
    let upgraded = Server::start_at(start_again(), &store, record, &spec("i-1", "v2"), &caches);
    record.add("i-1 has started again, with software v2");
    if !setting.trouble {
        upgraded.register();
    }
    sleep_ms(300);
    let clients = send("after", 60, 15);
    sleep_ms(1_400);
    record.add("i-1 crashes");
    upgraded.stop();
    sleep_ms(1_200);
    if setting.trouble {
        store.set_busy(false);
    }
    let upgraded = Server::start_at(start_again(), &store, record, &spec("i-1", "v2"), &caches);
    record.add("i-1 has started again, with software v2");
    upgraded.register();
    let mut mixed = Vec::new();
    for client in clients {
        let (id, answer) = client.join().expect("a client");
        let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let body = body.unwrap_or_default();
        if body.contains("v1 piece") && body.contains("v2 piece") {
            mixed.push(id);
        }
    }
    record.add(&format!("streams with events of both versions: {mixed:?}"));
    if mixed.len() <= 2 {
        return Vec::new();
    }
    vec![format!("{} streams hold events of v1 and v2: {}", mixed.len(), mixed.join(" "))]
}

/// Rule DRAIN: a node is frozen while the entry of a server changes and is then removed.
pub fn stale_entry(setting: &Setting) -> Vec<String> {
    let record = &setting.record;
    let store = Store::start(record);
    let caches = Caches::default();
    let behaviour =
        |cold_ms| Behaviour { events: 40, gap: Duration::from_millis(50), cold_ms, spoil_every: 0 };
    let start_server = |id, cold_ms| {
        let behaviour = behaviour(cold_ms);
        let spec = ServerSpec { id, service: "drafting", software: "v1", model: None, behaviour };
        let server = Server::start(&store, record, &spec, &caches);
        server.register();
        server
    };
    let _servers = ["i-1", "i-2", "i-3"].map(|id| start_server(id, 0));
    let config = config(1, "drafting", false, "");
    let config = config.replace(r#""maxAttempts":2"#, r#""maxAttempts":1"#);
    store.put("op/config", &config.replace(r#""resumable":true"#, r#""resumable":false"#));
    let nodes = start_nodes(setting, &store, 9);
    // One of the three nodes that watch the store, by the order of the names, and not the first of them.
    let node = &nodes[6];
    sleep_ms(4_000);
    let fresh = start_server("i-4", 6_000);
    sleep_ms(1_200);
    // The entry tells how much longer the server is slow, and changes with each ping.
    fresh.register();
    sleep_ms(800);
    if setting.trouble {
        record.add("front-z1-7 is frozen");
        node.signal("STOP");
    }
    sleep_ms(400);
    fresh.register();
    sleep_ms(300);
    record.add("i-4 leaves without a report of draining; it goes on serving for 8 s");
    store.remove("servers/i-4");
    let removed_at = Instant::now();
    sleep_ms(600);
    if setting.trouble {
        node.signal("CONT");
        record.add("front-z1-7 is woken");
    }
    // Longer than stableMs after the node woke, and than drainMs after the removal.
    sleep_ms(4_000);
    let front = node.front;
    let send = |name: &str, count: usize| {
        let clients = (0..count).map(|number| {
            let (record, id) = (record.clone(), format!("{name}-{number}"));
            thread::spawn(move || {
                sleep_ms(25 * number as u64);
                (id.clone(), ask(&record, front, &id, ""))
            })
        });
        clients.collect::<Vec<_>>()
    };
    let mut clients = send("late", 60);
    sleep_ms(2_200);
    clients.extend(send("last", 30));
    thread::sleep(Duration::from_millis(8_000).saturating_sub(removed_at.elapsed()));
    record.add("i-4 exits");
    fresh.stop();
    let answers = clients.into_iter().map(|client| client.join().expect("a client"));
    let broken: Vec<String> =
        answers.filter(|(_, answer)| answer.is_none()).map(|(id, _)| id).collect();
    let runs = fresh.runs.lock().expect("no panic").clone();
    if runs.is_empty() {
        return Vec::new();
    }
    vec![format!(
        "{} requests, sent 4.6 s and more after i-4 had gone from the store, reached it: {}; {} of the streams were cut off when it exited: {}",
        runs.len(),
        runs.join(" "),
        broken.len(),
        broken.join(" ")
    )]
}
