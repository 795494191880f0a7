//! Tests of the simulated key-value service and plain service through their HTTP interfaces.

use std::time::Duration;

use awc::Client;
use carobvane_proto::keyvalue::encode_base64;
use carobvane_standin::{
    keyvalue::{self, KeyValueFaults, KeyValueHandle, KeyValueSettings, OutageKind},
    service::{self, ServiceFaults, ServiceSettings},
};
use futures::StreamExt;
use serde_json::{Value, json};

/// Limit on each wait; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

async fn post(handle: &KeyValueHandle, path: &str, body: &Value) -> Option<(u16, Value)> {
    let url = format!("http://{}{path}", handle.addr());
    let mut answer =
        Client::default().post(url).timeout(TEST_TIMEOUT).send_json(body).await.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.json().await.ok()?))
}

fn create(key: &str, value: &str, lease: &str) -> Value {
    let key = encode_base64(key.as_bytes());
    json!({
        "compare": [{"result": "EQUAL", "target": "CREATE", "key": key, "create_revision": "0"}],
        "success": [{"request_put": {"key": key, "value": encode_base64(value.as_bytes()), "lease": lease}}],
        "failure": [{"request_range": {"key": key}}],
    })
}

fn read(key: &str) -> Value {
    json!({"key": encode_base64(key.as_bytes())})
}

/// Guards against a create-only transaction that overwrites a key, and against a watch that misses
/// the creation.
#[actix_web::test]
async fn create_runs_once_and_shows_in_watch() {
    let handle = keyvalue::start(KeyValueSettings::default()).await.unwrap();
    let url = format!("http://{}/v3/watch", handle.addr());
    let range = json!({"key": encode_base64(b"a"), "range_end": encode_base64(b"b")});
    let request = Client::default().post(url).timeout(TEST_TIMEOUT);
    let mut watch = request.send_json(&json!({"create_request": range})).await.unwrap();
    watch.next().await.unwrap().unwrap();
    let (_, first) = post(&handle, "/v3/kv/txn", &create("a1", "one", "0")).await.unwrap();
    let (_, second) = post(&handle, "/v3/kv/txn", &create("a1", "two", "0")).await.unwrap();
    assert_eq!((&first["succeeded"], &second["succeeded"]), (&json!(true), &json!(false)));
    let held = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(held["value"], encode_base64(b"one"));
    let line = watch.next().await.unwrap().unwrap();
    let line: Value = serde_json::from_slice(&line).unwrap();
    assert_eq!(line["result"]["events"][0]["kv"]["value"], encode_base64(b"one"));
}

/// Guards against writes that have no effect if their response is lost, against a restore that
/// keeps later writes, and against an outage that still serves reads or does not end.
#[actix_web::test]
async fn faults_take_effect() {
    let handle = keyvalue::start(KeyValueSettings::default()).await.unwrap();
    handle.update_faults(&KeyValueFaults { snapshot: true, ..KeyValueFaults::default() });
    let lost = KeyValueFaults { lose_acknowledgements: Some(1), ..KeyValueFaults::default() };
    handle.update_faults(&lost);
    assert_eq!(post(&handle, "/v3/kv/txn", &create("k", "v", "0")).await, None);
    let (_, found) = post(&handle, "/v3/kv/range", &read("k")).await.unwrap();
    assert_eq!(found["count"], "1");
    handle.update_faults(&KeyValueFaults { restore: true, ..KeyValueFaults::default() });
    let (_, found) = post(&handle, "/v3/kv/range", &read("k")).await.unwrap();
    assert_eq!(found["count"], "0");
    let outage = Some(OutageKind::Refuse);
    handle.update_faults(&KeyValueFaults { outage, ..KeyValueFaults::default() });
    assert_eq!(post(&handle, "/v3/kv/range", &read("k")).await.unwrap().0, 503);
    handle.update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
    assert_eq!(post(&handle, "/v3/kv/range", &read("k")).await.unwrap().0, 200);
    let counters = handle.counters();
    assert_eq!((counters.writes, counters.reads, counters.refused), (1, 4, 1));
    assert_eq!(counters.lost_acknowledgements, 1);
}

/// Guards against keys that remain after their lease is revoked, and against a revoked lease that
/// can be renewed.
#[actix_web::test]
async fn lease_holds_its_keys() {
    let handle = keyvalue::start(KeyValueSettings::default()).await.unwrap();
    let (_, lease) = post(&handle, "/v3/lease/grant", &json!({"TTL": "60"})).await.unwrap();
    let id = lease["ID"].as_str().unwrap();
    post(&handle, "/v3/kv/txn", &create("l", "v", id)).await.unwrap();
    let (_, alive) = post(&handle, "/v3/lease/keepalive", &json!({"ID": id})).await.unwrap();
    assert_eq!(alive["result"]["TTL"], "60");
    post(&handle, "/v3/lease/revoke", &json!({"ID": id})).await.unwrap();
    let (_, found) = post(&handle, "/v3/kv/range", &read("l")).await.unwrap();
    assert_eq!(found["count"], "0");
    let (_, gone) = post(&handle, "/v3/lease/keepalive", &json!({"ID": id})).await.unwrap();
    assert_eq!(gone["result"]["TTL"], "0");
}

/// Guards against a service without rate limits, with which tests would not notice that the router
/// calls the service too often.
#[actix_web::test]
async fn rate_limit_answers_429() {
    let settings = KeyValueSettings { reads_per_second: 0, ..KeyValueSettings::default() };
    let handle = keyvalue::start(settings).await.unwrap();
    assert_eq!(post(&handle, "/v3/kv/range", &read("k")).await.unwrap().0, 429);
    assert_eq!(handle.counters().limited, 1);
}

/// Guards against a booking that is not counted as run when its connection closes before the
/// response.
#[actix_web::test]
async fn booking_that_dies_has_run() {
    let handle = service::start(ServiceSettings::default()).await.unwrap();
    handle.update_faults(&ServiceFaults { die_mid_call: Some(1), ..ServiceFaults::default() });
    let url = format!("http://{}/bookings", handle.addr());
    let call = || Client::default().post(&url).insert_header(("idempotency-key", "b1")).send();
    assert!(call().await.is_err());
    assert_eq!(handle.counters().bookings["b1"], 1);
    assert_eq!(call().await.unwrap().status(), 201);
    assert_eq!(handle.counters().bookings["b1"], 2);
}
