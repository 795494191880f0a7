//! Entries that are killed, frozen, restarted and stopped while they serve.

use std::{cell::Cell, rc::Rc};

use carobvane_replay::client::{CallResult, CompletionCall, stream_completion};
use futures::future::join_all;
use nix::sys::signal::Signal;

use super::fleet::{CALLER_KEY, ENTRIES, MODEL, ProcessFleet};

/// Requests of each caller.
const REQUESTS: usize = 12;
/// Tokens of each answer.
const TOKENS: u32 = 40;

fn call(fleet: &ProcessFleet, entry: usize, request: usize) -> CompletionCall {
    let prefix = "the tenancy file ".repeat(20);
    CompletionCall {
        entry: fleet.url(entry),
        key: CALLER_KEY.to_string(),
        model: MODEL.to_string(),
        weights: 1,
        prompt: format!("{prefix} question {entry}/{request}"),
        tokens: TOKENS,
    }
}

/// One caller for each entry; `progress` counts answers and runs `at` when one of its counts is
/// reached.
async fn run_callers(fleet: &ProcessFleet, at: &[(usize, &dyn Fn())]) -> Vec<Vec<CallResult>> {
    let answered = Rc::new(Cell::new(0));
    let callers = (0..ENTRIES).map(|entry| {
        let answered = Rc::clone(&answered);
        async move {
            let client = awc::Client::builder().disable_timeout().finish();
            let mut results = Vec::new();
            for request in 0..REQUESTS {
                results.push(stream_completion(&client, &call(fleet, entry, request)).await);
                answered.set(answered.get() + 1);
                for (_, action) in at.iter().filter(|(count, _)| *count == answered.get()) {
                    action();
                }
            }
            results
        }
    });
    join_all(callers).await
}

fn whole(results: &[CallResult]) -> usize {
    results.iter().filter(|result| matches!(result, CallResult::Complete { .. })).count()
}

/// Guards against cut or wrong answers at other entries when one is killed and one is frozen, and
/// against a frozen entry that gives wrong answers when it goes on.
#[actix_rt::test]
async fn killed_and_frozen_entries_give_honest_answers() {
    let mut fleet = ProcessFleet::start().await;
    let results = run_callers(
        &fleet,
        &[
            (4, &|| fleet.entries[0].signal(Signal::SIGKILL)),
            (7, &|| fleet.entries[1].signal(Signal::SIGSTOP)),
            (16, &|| fleet.entries[1].signal(Signal::SIGCONT)),
        ],
    )
    .await;
    for (entry, results) in results.iter().enumerate() {
        let wrong: Vec<_> = results.iter().filter(|result| !result.is_valid()).collect();
        assert!(wrong.is_empty(), "entry {entry}: {wrong:?}");
    }
    assert_eq!(whole(&results[1]), REQUESTS, "frozen: {:?}", results[1]);
    assert_eq!(whole(&results[2]), REQUESTS, "untouched: {:?}", results[2]);

    fleet.restart_entry(0).await;
    let client = awc::Client::builder().disable_timeout().finish();
    let result = stream_completion(&client, &call(&fleet, 0, 0)).await;
    assert!(matches!(result, CallResult::Complete { .. }), "restarted: {result:?}");
}

/// Guards against a planned stop that cuts requests in progress.
#[actix_rt::test]
async fn stopping_entry_finishes_its_requests() {
    let mut fleet = ProcessFleet::start().await;
    let client = awc::Client::builder().disable_timeout().finish();
    let calls: Vec<_> = (0..6).map(|request| call(&fleet, 0, request)).collect();
    let requests = join_all(calls.iter().map(|call| stream_completion(&client, call)));
    let entry = &fleet.entries[0];
    let (results, ()) = futures::join!(requests, async { entry.signal(Signal::SIGTERM) });
    assert_eq!(whole(&results), calls.len(), "{results:?}");
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

/// Guards against an entry that cannot start again while the key-value service and its steward are
/// down, although other entries hold the lists.
#[actix_rt::test]
async fn restarted_entry_serves_from_peers_during_an_outage() {
    let mut fleet = ProcessFleet::start().await;
    let client = awc::Client::builder().disable_timeout().finish();
    let faults = format!("{}/faults", fleet.keyvalue_url());
    let outage = client.post(faults).send_json(&serde_json::json!({ "outage": "refuse" })).await;
    assert!(outage.expect("the stand-in answers").status().is_success());
    fleet.steward.signal(Signal::SIGKILL);
    fleet.entries[0].signal(Signal::SIGKILL);
    fleet.entries[0].wait();
    fleet.restart_entry(0).await;
    let result = stream_completion(&client, &call(&fleet, 0, 0)).await;
    assert!(matches!(result, CallResult::Complete { .. }), "{result:?}");
}
