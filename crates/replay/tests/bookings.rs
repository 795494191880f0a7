//! Tests that bookings run at most once, over real sockets. The key-value service and the plain
//! service inject faults, and the plain service counts its runs by idempotency key.

use std::time::Duration;

use carobvane_replay::fleet::{Fleet, FleetSettings, SERVICE, workspace_key};
use carobvane_standin::{
    keyvalue::{KeyValueFaults, OutageKind},
    service::ServiceFaults,
};
use futures::future::join_all;
use serde_json::Value;

/// Number of retries after which an answer that should be transient is treated as final.
const MAX_RETRIES: usize = 2_000;
const WORKSPACE: &str = "workspace-1";

/// The parts of a response that the tests compare.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Answer {
    status: u16,
    outcome: Option<String>,
    /// Whether the response is marked as a replay of a stored response.
    replayed: bool,
    /// Whether the response has a `Location` header, which names the entry that issued the permit.
    location: bool,
}

impl Answer {
    fn new(status: u16, outcome: &str) -> Answer {
        let outcome = (!outcome.is_empty()).then(|| outcome.to_owned());
        Answer { status, outcome, replayed: false, location: false }
    }
}

async fn book(
    fleet: &Fleet,
    entry: usize,
    key: Option<&str>,
    permit: Option<&str>,
    body: &str,
) -> Answer {
    let url = format!("{}/v1/services/{SERVICE}/bookings", fleet.entry_url(entry));
    let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
    let mut request = client.post(url).bearer_auth(workspace_key(WORKSPACE));
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    if let Some(permit) = permit {
        request = request.insert_header(("x-permit", permit));
    }
    let response = request.send_body(body.to_owned()).await.unwrap();
    let header = |name| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    Answer {
        status: response.status().as_u16(),
        outcome: header("x-outcome"),
        replayed: header("idempotent-replayed").is_some(),
        location: header("location").is_some(),
    }
}

/// Retries a booking as long as the answer is `transient`, and returns the first other answer.
async fn book_until_final(fleet: &Fleet, entry: usize, key: &str, transient: &Answer) -> Answer {
    for _ in 0..MAX_RETRIES {
        let answer = book(fleet, entry, Some(key), None, "a").await;
        if answer != *transient {
            return answer;
        }
    }
    transient.clone()
}

async fn request_permit(fleet: &Fleet, entry: usize) -> String {
    let url = format!("{}/v1/permits", fleet.entry_url(entry));
    let client = awc::Client::default();
    let mut response = client.post(url).bearer_auth(workspace_key(WORKSPACE)).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let body: Value = response.json().await.unwrap();
    body["permits"][0].as_str().unwrap().to_owned()
}

fn run_count(fleet: &Fleet, booking: &str) -> u64 {
    let counters = fleet.services.iter().map(|service| service.counters());
    counters.map(|counters| counters.bookings.get(booking).copied().unwrap_or(0)).sum()
}

/// Guards against a retry that runs the booking again, and against a retry with a different body
/// that gets the stored answer.
#[actix_rt::test]
async fn retry_gets_the_stored_answer() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    assert_eq!(book(&fleet, 0, Some("k"), None, "a").await, Answer::new(201, ""));
    let stored = Answer { replayed: true, ..Answer::new(201, "") };
    // The entry that ran the booking can replay its answer at once. Other entries can do so only
    // after the answer has been stored.
    assert_eq!(book(&fleet, 0, Some("k"), None, "a").await, stored);
    let unknown = Answer::new(409, "outcome_unknown");
    assert_eq!(book_until_final(&fleet, 1, "k", &unknown).await, stored);
    assert_eq!(book(&fleet, 2, Some("k"), None, "b").await, Answer::new(422, "not_run"));
    assert_eq!(book(&fleet, 0, None, None, "a").await, Answer::new(400, "not_run"));
    assert_eq!(run_count(&fleet, "k"), 1);
    fleet.stop().await;
}

/// Guards against a second run of a booking after its server died during the call, after the
/// acknowledgement of a write was lost, when many retries arrive at once, and after the server
/// refused it.
#[actix_rt::test]
async fn faults_do_not_run_a_booking_twice() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    let die_mid_call = ServiceFaults { die_mid_call: Some(1), ..ServiceFaults::default() };
    fleet.services[0].update_faults(&die_mid_call);
    let unknown = Answer::new(502, "outcome_unknown");
    assert_eq!(book(&fleet, 0, Some("died"), None, "a").await, unknown);
    for entry in 0..3 {
        let retried = book(&fleet, entry, Some("died"), None, "a").await;
        assert_eq!(retried, Answer::new(409, "outcome_unknown"));
    }
    assert_eq!(run_count(&fleet, "died"), 1);

    let lose = KeyValueFaults { lose_acknowledgements: Some(1), ..KeyValueFaults::default() };
    fleet.keyvalue.update_faults(&lose);
    assert_eq!(book(&fleet, 1, Some("lost"), None, "a").await, Answer::new(201, ""));
    assert_eq!(run_count(&fleet, "lost"), 1);

    let retries = (0..30).map(|entry| book(&fleet, entry, Some("many"), None, "a"));
    let answers = join_all(retries).await;
    assert_eq!(run_count(&fleet, "many"), 1);
    for answer in answers {
        assert!([201, 409].contains(&answer.status), "{answer:?}");
    }

    let refuse = ServiceFaults { refuse: Some(1), ..ServiceFaults::default() };
    fleet.services[0].update_faults(&refuse);
    assert_eq!(book(&fleet, 0, Some("refused"), None, "a").await, Answer::new(503, "not_run"));
    // The outcome is reported as unknown until the claim of the refused booking is deleted.
    let retried =
        book_until_final(&fleet, 1, "refused", &Answer::new(409, "outcome_unknown")).await;
    assert_eq!((retried, run_count(&fleet, "refused")), (Answer::new(201, ""), 1));
    fleet.stop().await;
}

/// Guards against bookings that are refused during an outage of the key-value service although they
/// have a permit, against permits that can be used twice or at another entry, and against bookings
/// that run with neither a stored claim nor a permit.
#[actix_rt::test]
async fn permits_allow_bookings_during_an_outage() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    let outage = KeyValueFaults { outage: Some(OutageKind::Refuse), ..KeyValueFaults::default() };
    fleet.keyvalue.update_faults(&outage);
    let not_run = Answer::new(503, "not_run");
    assert_eq!(book(&fleet, 0, Some("none"), None, "a").await, not_run);
    assert_eq!(run_count(&fleet, "none"), 0);

    for (key, booking) in [(None, "unnamed"), (Some("named"), "named")] {
        let permit = request_permit(&fleet, 0).await;
        let wrong_entry = Answer { location: true, ..Answer::new(409, "outcome_unknown") };
        assert_eq!(book(&fleet, 1, key, Some(&permit), "a").await, wrong_entry);
        assert_eq!(run_count(&fleet, booking), 0);
        assert_eq!(book(&fleet, 0, key, Some(&permit), "a").await, Answer::new(201, ""));
        let spent = Answer::new(409, "outcome_unknown");
        assert_eq!(book(&fleet, 0, key, Some(&permit), "a").await, spent);
        assert_eq!(run_count(&fleet, booking), 1);
    }
    let forged = "1-1-1-".to_owned() + &"0".repeat(64);
    assert_eq!(book(&fleet, 0, None, Some(&forged), "a").await, Answer::new(400, "not_run"));

    fleet.keyvalue.update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
    let after = book_until_final(&fleet, 0, "after", &not_run).await;
    assert_eq!((after, run_count(&fleet, "after")), (Answer::new(201, ""), 1));
    fleet.stop().await;
}
