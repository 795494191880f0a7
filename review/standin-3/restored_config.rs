//! The platform's store comes back from a copy that is older than a config which isolated a tenant, and a
//! node is killed and starts again before the operator has written that config again.
//!
//! A request of the isolated tenant must not use KV cache that a request of another tenant made.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    BROKEN, HELD, UNABLE,
    deployment::{Deployment, MODEL, TENANT, Tenant, config},
    http::Channel,
    record::Record,
};

/// Shared parts of all prompts.
const SHARED_PARTS: &str = "5c1e07a2:2520,91bd3f06:3780";
/// Time from the copy to the config, and from the config until the store is away: the copy is four
/// seconds old.
const COPY_LEAD: Duration = Duration::from_millis(300);
const CONFIG_LEAD: Duration = Duration::from_millis(3_700);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Time after the return of the store at which the operator writes its config again.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// How long a killed node is gone.
const DOWN_TIME: Duration = Duration::from_millis(300);

const GROWER: Tenant = Tenant { name: "fiti832", key: "fqasnmgkcuyj8pjbvk9m", is_isolated: false };

/// Ids of the requests that were sent, with their tenants and when.
type Sent = Arc<Mutex<Vec<(String, &'static str, Instant)>>>;

fn send(front: std::net::SocketAddr, tenant: Tenant, id: &str, record: &Record) -> Option<u16> {
    let mut channel = Channel::connect(front).ok()?;
    channel.stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let (prefix, key) = (format!("{SHARED_PARTS},{id}:2890"), format!("Token {}", tenant.key));
    let body = format!("{{\"question\":\"{id}\"}}");
    let headers = [
        ("Host", "jepu9.example"),
        ("Request-Id", id),
        ("Model", MODEL),
        ("Token-Usage", "9190,10"),
        ("Prompt-Prefix", &prefix),
        ("Deadline-Ms", "5000"),
        ("Authorization", &key),
    ];
    record.line(&format!("client of tenant {} sends {id} to {front}", tenant.name));
    channel.send("POST /lepu270/2f HTTP/1.1", &headers, body.as_bytes()).ok()?;
    let status = channel.message().ok().map(|answer| answer.status());
    record.line(&format!("client of tenant {} gets {status:?} for {id}", tenant.name));
    status
}

pub fn run(
    program: &str,
    folder: &Path,
    ips: &[String],
    is_troubled: bool,
    record: &Record,
) -> i32 {
    let stream = (4, Duration::from_millis(20));
    let tenants = [TENANT, GROWER];
    let Some(mut deployment) =
        Deployment::start(program, folder, ips, (4, 3), &["v1"], stream, &tenants, record)
    else {
        return UNABLE;
    };
    let fronts: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
    let sent = Sent::default();
    let end = Instant::now() + Duration::from_secs(13);
    let senders: Vec<_> = [(TENANT, 0usize), (GROWER, 1)]
        .into_iter()
        .map(|(tenant, place)| {
            let (sent, record, fronts) = (sent.clone(), record.clone(), fronts.clone());
            thread::spawn(move || {
                let mut threads = Vec::new();
                for number in 0.. {
                    if Instant::now() >= end {
                        break;
                    }
                    let id = format!("{:08x}{place:02x}{number:06x}", std::process::id());
                    sent.lock().unwrap().push((id.clone(), tenant.name, Instant::now()));
                    let (record, front) = (record.clone(), fronts[number % fronts.len()]);
                    threads.push(thread::spawn(move || send(front, tenant, &id, &record)));
                    thread::sleep(Duration::from_millis(20));
                }
                threads
                    .into_iter()
                    .filter_map(|thread| thread.join().ok()?)
                    .filter(|status| *status == 200)
                    .count()
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let store = deployment.store.clone();
    store.make_copy();
    record.line("a copy of the store is made");
    thread::sleep(COPY_LEAD);
    let isolated = config(9, &[TENANT, Tenant { is_isolated: true, ..GROWER }]);
    store.write("op/config", &isolated);
    let isolated_at = Instant::now();
    record.line("the store has accepted config 9, which isolates the tenant fiti832");
    thread::sleep(CONFIG_LEAD);
    if is_troubled {
        record.line("the store is away");
        store.set_silent(true);
    }
    thread::sleep(AWAY_TIME);
    if is_troubled {
        record.line("the store is back from the copy");
        store.restore();
        let store = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(REWRITE_TIME);
            store.write("op/config", &isolated);
            record.line("the operator has written config 9 again");
        });
    }
    record.line("node front-z1-1 is killed");
    deployment.nodes[0].restart(DOWN_TIME);
    record.line("node front-z1-1 starts again");
    let served: usize = senders.into_iter().map(|sender| sender.join().unwrap_or(0)).sum();
    if !deployment.is_whole(record) {
        return UNABLE;
    }
    let runs = deployment.runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let sender = |id: &str| sent.iter().find(|(known, ..)| known == id);
    let mut walls = 0;
    for run in runs.iter() {
        let Some((id, tenant, at)) = sender(&run.request) else { continue };
        // A config must be in force two seconds after its acknowledgement.
        if at.saturating_duration_since(isolated_at) < Duration::from_secs(2) {
            continue;
        }
        for (maker, owner, _) in run.used.iter().filter_map(|maker| sender(maker)) {
            if owner != tenant {
                walls += 1;
                record.line(&format!(
                    "WALL: {id} of {tenant} used KV cache that {maker} of {owner} made"
                ));
            }
        }
    }
    record.line(&format!("sent {}, served {served}, run {}, WALL {walls}", sent.len(), runs.len()));
    if walls > 0 {
        return BROKEN;
    }
    if served * 2 < sent.len() { UNABLE } else { HELD }
}
