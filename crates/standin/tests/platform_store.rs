//! Tests of the simulated store of the platform through its HTTP interface.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use awc::Client;
use carobvane_standin::platform::start_store;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

/// Number of watches. Some of them end just when a change is made.
const WATCHES: usize = 3_000;
/// How long each watch waits.
const WATCH_WAIT: Duration = Duration::from_millis(1);
/// Longest pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(4);

/// Guards against a watch that ends together with a change, and continues after it without showing it: a node
/// then never learns of a configuration.
#[actix_web::test]
async fn ended_watch_has_shown_all_changes_before_its_revision() {
    let store = start_store().await.expect("the store starts");
    let url = format!("http://{}/kv-watch?prefix=&waitMs={}", store.addr(), WATCH_WAIT.as_millis());
    let is_over = Arc::new(AtomicBool::new(false));
    let writer = thread::spawn({
        let is_over = is_over.clone();
        move || {
            let mut rng = StdRng::seed_from_u64(0);
            while !is_over.load(Ordering::Relaxed) {
                store.put("a", &json!(1));
                thread::sleep(rng.random_range(Duration::ZERO..CHANGE_PAUSE));
            }
        }
    });
    let client = Client::default();
    let mut after = 1;
    let mut missed = Vec::new();
    for _ in 0..WATCHES {
        let answer = client.get(format!("{url}&after={after}")).send().await;
        let answer = answer.expect("the store answers").json::<Value>().await;
        let answer = answer.expect("the answer is JSON");
        let as_of = answer["asOf"].as_u64().expect("a revision");
        let events = answer["events"].as_array().expect("events").len() as u64;
        // Each change has a revision of its own.
        if as_of != after + events {
            missed.push((after, as_of, events));
        }
        after = as_of;
    }
    is_over.store(true, Ordering::Relaxed);
    writer.join().expect("the writer ends");
    assert!(missed.is_empty(), "(after, asOf, number of events): {missed:?}");
}
