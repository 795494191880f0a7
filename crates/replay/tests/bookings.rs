//! Bookings over loopback: entries, a key-value service with faults and a plain service that counts
//! runs by idempotency key.

use std::time::Duration;

use carobvane_replay::fleet::{Fleet, FleetSettings, SERVICE, key_of};
use carobvane_standin::{
    keyvalue::{KeyValueFaults, OutageKind},
    service::ServiceFaults,
};
use futures::future::join_all;
use serde_json::Value;

/// Resends after which a transient answer counts as final.
const MAX_RESENDS: usize = 2_000;
const WORKSPACE: &str = "workspace-1";

/// What a caller sees.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Answer {
    status: u16,
    outcome: Option<String>,
    replayed: bool,
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
    let mut request = client.post(url).bearer_auth(key_of(WORKSPACE));
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

/// Resends a booking while its answer is `transient`.
async fn book_past(fleet: &Fleet, entry: usize, key: &str, transient: &Answer) -> Answer {
    for _ in 0..MAX_RESENDS {
        let answer = book(fleet, entry, Some(key), None, "a").await;
        if answer != *transient {
            return answer;
        }
    }
    transient.clone()
}

async fn permit(fleet: &Fleet, entry: usize) -> String {
    let url = format!("{}/v1/permits", fleet.entry_url(entry));
    let client = awc::Client::default();
    let mut response = client.post(url).bearer_auth(key_of(WORKSPACE)).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let body: Value = response.json().await.unwrap();
    body["permits"][0].as_str().unwrap().to_owned()
}

fn runs(fleet: &Fleet, booking: &str) -> u64 {
    let counters = fleet.services.iter().map(|service| service.counters());
    counters.map(|counters| counters.bookings.get(booking).copied().unwrap_or(0)).sum()
}

/// Guards against a resend that runs again, and against one that gets another body's answer.
#[actix_rt::test]
async fn resend_gets_the_stored_answer() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    assert_eq!(book(&fleet, 0, Some("k"), None, "a").await, Answer::new(201, ""));
    let stored = Answer { replayed: true, ..Answer::new(201, "") };
    // The same entry answers from memory or from the service; another one once it is stored.
    assert_eq!(book(&fleet, 0, Some("k"), None, "a").await, stored);
    let unknown = Answer::new(409, "outcome_unknown");
    assert_eq!(book_past(&fleet, 1, "k", &unknown).await, stored);
    assert_eq!(book(&fleet, 2, Some("k"), None, "b").await, Answer::new(422, "not_run"));
    assert_eq!(book(&fleet, 0, None, None, "a").await, Answer::new(400, "not_run"));
    assert_eq!(runs(&fleet, "k"), 1);
    fleet.stop().await;
}

/// Guards against a second run of a booking whose server or acknowledgement was lost, and against
/// one of many concurrent resends that runs as well.
#[actix_rt::test]
async fn faults_do_not_run_a_booking_twice() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    let die = ServiceFaults { die_mid_call: Some(1), ..ServiceFaults::default() };
    fleet.services[0].update_faults(&die);
    let unknown = Answer::new(502, "outcome_unknown");
    assert_eq!(book(&fleet, 0, Some("died"), None, "a").await, unknown);
    for entry in 0..3 {
        let resent = book(&fleet, entry, Some("died"), None, "a").await;
        assert_eq!(resent, Answer::new(409, "outcome_unknown"));
    }
    assert_eq!(runs(&fleet, "died"), 1);

    let lose = KeyValueFaults { lose_acknowledgements: Some(1), ..KeyValueFaults::default() };
    fleet.keyvalue.update_faults(&lose);
    assert_eq!(book(&fleet, 1, Some("lost"), None, "a").await, Answer::new(201, ""));
    assert_eq!(runs(&fleet, "lost"), 1);

    let resends = (0..30).map(|entry| book(&fleet, entry, Some("many"), None, "a"));
    let answers = join_all(resends).await;
    assert_eq!(runs(&fleet, "many"), 1);
    for answer in answers {
        assert!([201, 409].contains(&answer.status), "{answer:?}");
    }

    let refuse = ServiceFaults { refuse: Some(1), ..ServiceFaults::default() };
    fleet.services[0].update_faults(&refuse);
    assert_eq!(book(&fleet, 0, Some("refused"), None, "a").await, Answer::new(503, "not_run"));
    // Until the claim of the refused booking is deleted.
    let resent = book_past(&fleet, 1, "refused", &Answer::new(409, "outcome_unknown")).await;
    assert_eq!((resent, runs(&fleet, "refused")), (Answer::new(201, ""), 1));
    fleet.stop().await;
}

/// Guards against bookings that stop in an outage of the key-value service although they have
/// permits, against permits that run twice, and against bookings that run without a record.
#[actix_rt::test]
async fn outage_is_bridged_by_permits() {
    let fleet = Fleet::start(&FleetSettings::default()).await.unwrap();
    let outage = KeyValueFaults { outage: Some(OutageKind::Refuse), ..KeyValueFaults::default() };
    fleet.keyvalue.update_faults(&outage);
    let not_run = Answer::new(503, "not_run");
    assert_eq!(book(&fleet, 0, Some("none"), None, "a").await, not_run);
    assert_eq!(runs(&fleet, "none"), 0);

    for (key, booking) in [(None, "unnamed"), (Some("named"), "named")] {
        let permit = permit(&fleet, 0).await;
        let elsewhere = Answer { location: true, ..Answer::new(409, "outcome_unknown") };
        assert_eq!(book(&fleet, 1, key, Some(&permit), "a").await, elsewhere);
        assert_eq!(runs(&fleet, booking), 0);
        assert_eq!(book(&fleet, 0, key, Some(&permit), "a").await, Answer::new(201, ""));
        let spent = Answer::new(409, "outcome_unknown");
        assert_eq!(book(&fleet, 0, key, Some(&permit), "a").await, spent);
        assert_eq!(runs(&fleet, booking), 1);
    }
    let forged = "1-1-1-".to_owned() + &"0".repeat(64);
    assert_eq!(book(&fleet, 0, None, Some(&forged), "a").await, Answer::new(400, "not_run"));

    fleet.keyvalue.update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
    let after = book_past(&fleet, 0, "after", &not_run).await;
    assert_eq!((after, runs(&fleet, "after")), (Answer::new(201, ""), 1));
    fleet.stop().await;
}
