//! Kills, suspends, restarts and stops entries while they serve requests.

use std::{cell::Cell, rc::Rc};

use carobvane_replay::client::{CallResult, CompletionCall, stream_completion};
use futures::future::join_all;
use nix::sys::signal::Signal;

use super::fleet::{API_KEY, ENTRY_COUNT, MODEL_NAME, ProcessFleet};

/// Number of requests that each client sends.
const REQUESTS_PER_CLIENT: usize = 12;
/// Length of each answer, in tokens.
const TOKENS_PER_ANSWER: u32 = 40;

/// A completion request to an entry. All prompts share a long prefix; `entry` and `request` make
/// each of them unique.
fn completion_call(fleet: &ProcessFleet, entry: usize, request: usize) -> CompletionCall {
    let prefix = "the tenancy file ".repeat(20);
    CompletionCall {
        entry: fleet.url(entry),
        key: API_KEY.to_string(),
        model: MODEL_NAME.to_string(),
        weights: 1,
        prompt: format!("{prefix} question {entry}/{request}"),
        tokens: TOKENS_PER_ANSWER,
    }
}

/// Runs one client for each entry, each sending its requests one after another. Runs an action as
/// soon as its number of requests, counted over all clients, has ended.
async fn run_clients(fleet: &ProcessFleet, actions: &[(usize, &dyn Fn())]) -> Vec<Vec<CallResult>> {
    let answered = Rc::new(Cell::new(0));
    let clients = (0..ENTRY_COUNT).map(|entry| {
        let answered = Rc::clone(&answered);
        async move {
            let client = awc::Client::builder().disable_timeout().finish();
            let mut results = Vec::new();
            for request in 0..REQUESTS_PER_CLIENT {
                results.push(
                    stream_completion(&client, &completion_call(fleet, entry, request)).await,
                );
                answered.set(answered.get() + 1);
                for (_, action) in actions.iter().filter(|(count, _)| *count == answered.get()) {
                    action();
                }
            }
            results
        }
    });
    join_all(clients).await
}

/// Number of calls that received the whole answer.
fn count_complete(results: &[CallResult]) -> usize {
    results.iter().filter(|result| matches!(result, CallResult::Complete { .. })).count()
}

/// Guards against wrong answers, and truncated ones that look complete, while one entry is killed
/// and another is suspended and resumed, and against requests to the other two entries that fail.
#[actix_rt::test]
async fn killed_and_suspended_entries_send_no_wrong_answers() {
    let mut fleet = ProcessFleet::start().await;
    let results = run_clients(
        &fleet,
        &[
            (4, &|| fleet.entries[0].send_signal(Signal::SIGKILL)),
            (7, &|| fleet.entries[1].send_signal(Signal::SIGSTOP)),
            (16, &|| fleet.entries[1].send_signal(Signal::SIGCONT)),
        ],
    )
    .await;
    for (entry, results) in results.iter().enumerate() {
        let wrong: Vec<_> = results.iter().filter(|result| !result.is_valid()).collect();
        assert!(wrong.is_empty(), "entry {entry}: {wrong:?}");
    }
    assert_eq!(count_complete(&results[1]), REQUESTS_PER_CLIENT, "suspended: {:?}", results[1]);
    assert_eq!(count_complete(&results[2]), REQUESTS_PER_CLIENT, "untouched: {:?}", results[2]);

    fleet.restart_entry(0).await;
    let client = awc::Client::builder().disable_timeout().finish();
    let result = stream_completion(&client, &completion_call(&fleet, 0, 0)).await;
    assert!(matches!(result, CallResult::Complete { .. }), "restarted: {result:?}");
}

/// Guards against an entry that breaks off requests in progress when SIGTERM stops it.
#[actix_rt::test]
async fn stopping_entry_finishes_its_requests() {
    let mut fleet = ProcessFleet::start().await;
    let client = awc::Client::builder().disable_timeout().finish();
    let calls: Vec<_> = (0..6).map(|request| completion_call(&fleet, 0, request)).collect();
    let requests = join_all(calls.iter().map(|call| stream_completion(&client, call)));
    let entry = &fleet.entries[0];
    let (results, ()) = futures::join!(requests, async { entry.send_signal(Signal::SIGTERM) });
    assert_eq!(count_complete(&results), calls.len(), "{results:?}");
    assert_eq!(fleet.entries[0].wait_for_exit(), Some(0));
}

/// Guards against an entry that cannot restart while the key-value service and the steward are
/// down, although the other entries hold the lists.
#[actix_rt::test]
async fn restarted_entry_serves_from_peers_during_an_outage() {
    let mut fleet = ProcessFleet::start().await;
    let client = awc::Client::builder().disable_timeout().finish();
    let faults = format!("{}/faults", fleet.keyvalue_url());
    let outage = client.post(faults).send_json(&serde_json::json!({ "outage": "refuse" })).await;
    assert!(outage.expect("the stand-in responds").status().is_success());
    fleet.steward.send_signal(Signal::SIGKILL);
    fleet.entries[0].send_signal(Signal::SIGKILL);
    fleet.entries[0].wait_for_exit();
    fleet.restart_entry(0).await;
    let result = stream_completion(&client, &completion_call(&fleet, 0, 0)).await;
    assert!(matches!(result, CallResult::Complete { .. }), "{result:?}");
}
