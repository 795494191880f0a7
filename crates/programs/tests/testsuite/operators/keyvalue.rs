//! The key-value client against the stand-in.

use std::time::Duration;

use carobvane_host::keyvalue::{KeyChange, KeyvalueClient, KeyvalueSettings, Transaction};
use carobvane_standin::keyvalue::{
    self, KeyValueFaults, KeyValueHandle, KeyValueSettings, OutageKind,
};

/// Longest wait for an event; far longer than any of these tests takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_keyvalue() -> (KeyValueHandle, KeyvalueClient) {
    let settings = KeyValueSettings { answer_ms: 0.0, ..KeyValueSettings::default() };
    let keyvalue = keyvalue::start(settings).await.expect("the stand-in starts");
    let mut settings = KeyvalueSettings::new(format!("http://{}", keyvalue.addr()));
    settings.timeout = TEST_TIMEOUT;
    (keyvalue, KeyvalueClient::new(settings))
}

/// Guards against a lease holder that does not learn that its lease has ended, and against keys
/// that outlive it.
#[actix_rt::test]
async fn lease_holds_its_keys_until_it_is_revoked() {
    let (_keyvalue, client) = start_keyvalue().await;
    let lease = client.lease_grant(60).await.expect("granted");
    assert_eq!(lease.time_to_live, Duration::from_secs(60));
    let put = Transaction::new().require_absent("holder").put_with_lease("holder", b"1", lease.id);
    let first = client.txn(put.clone()).await.expect("answered");
    assert!(first.succeeded);
    let second = client.txn(put.read_on_failure("holder")).await.expect("answered");
    assert!(!second.succeeded);
    assert_eq!(second.values[0].create_revision, first.revision);
    assert_eq!(client.lease_keepalive(lease.id).await.expect("kept").id, lease.id);
    client.lease_revoke(lease.id).await.expect("revoked");
    assert_eq!(client.get("holder").await.expect("answered"), None);
    let ended = client.lease_keepalive(lease.id).await.expect("answered");
    assert_eq!(ended.time_to_live, Duration::ZERO);
}

/// Guards against changes that a watcher misses when its watch breaks.
#[actix_rt::test]
async fn reopened_watch_continues_after_the_last_revision() {
    let (keyvalue, client) = start_keyvalue().await;
    let mut watch = client.watch_prefix("a/", 1, TEST_TIMEOUT).await.expect("opens");
    let first = client.txn(Transaction::new().put("a/1", b"x").put("b", b"y")).await;
    let revision = first.expect("answered").revision;
    let batch = loop {
        let batch = watch.next().await.expect("watches");
        if !batch.changes.is_empty() {
            break batch;
        }
    };
    assert_eq!(batch.revision, revision);
    assert!(matches!(&batch.changes[..], [KeyChange::Put(stored)] if stored.key == "a/1"));
    let outage = KeyValueFaults { outage: Some(OutageKind::Refuse), ..KeyValueFaults::default() };
    keyvalue.update_faults(&outage);
    assert!(watch.next().await.expect_err("broken").is_outcome_unknown());
    keyvalue.update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
    client.txn(Transaction::new().delete_range("a/", "a0")).await.expect("answered");
    let mut watch = client.watch_prefix("a/", revision + 1, TEST_TIMEOUT).await.expect("opens");
    let batch = watch.next().await.expect("watches");
    assert_eq!(batch.changes, [KeyChange::Deleted("a/1".into())]);
}
