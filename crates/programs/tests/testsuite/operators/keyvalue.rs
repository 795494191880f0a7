//! Tests of the key-value client against the stand-in.

use std::time::Duration;

use carobvane_host::keyvalue::{KeyChange, KeyvalueClient, KeyvalueSettings, Transaction};
use carobvane_standin::keyvalue::{
    self, KeyValueFaults, KeyValueHandle, KeyValueSettings, OutageKind,
};

/// Longest wait for a response or a watch event; far longer than any of these tests takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_keyvalue() -> (KeyValueHandle, KeyvalueClient) {
    let settings = KeyValueSettings { answer_ms: 0.0, ..KeyValueSettings::default() };
    let keyvalue = keyvalue::start(settings).await.expect("the stand-in starts");
    let mut settings = KeyvalueSettings::new(format!("http://{}", keyvalue.addr()));
    settings.timeout = TEST_TIMEOUT;
    (keyvalue, KeyvalueClient::new(settings))
}

/// Guards against a lease holder that is not told that its lease has ended, and against keys that
/// outlive their lease.
#[actix_rt::test]
async fn lease_holds_its_keys_until_it_is_revoked() {
    let (_keyvalue, client) = start_keyvalue().await;
    let lease = client.lease_grant(60).await.expect("the lease is granted");
    assert_eq!(lease.time_to_live, Duration::from_secs(60));
    let put = Transaction::new().require_absent("holder").put_with_lease("holder", b"1", lease.id);
    let first = client.txn(put.clone()).await.expect("the service responds");
    assert!(first.succeeded);
    let second = client.txn(put.read_on_failure("holder")).await.expect("the service responds");
    assert!(!second.succeeded);
    assert_eq!(second.values[0].create_revision, first.revision);
    assert_eq!(client.lease_keepalive(lease.id).await.expect("the lease is renewed").id, lease.id);
    client.lease_revoke(lease.id).await.expect("the lease is revoked");
    assert_eq!(client.get("holder").await.expect("the service responds"), None);
    let ended = client.lease_keepalive(lease.id).await.expect("the service responds");
    assert_eq!(ended.time_to_live, Duration::ZERO);
}

/// Guards against changes that a watcher misses because its watch broke off and was reopened.
#[actix_rt::test]
async fn reopened_watch_continues_after_the_last_revision() {
    let (keyvalue, client) = start_keyvalue().await;
    let mut watch = client.watch_prefix("a/", 1, TEST_TIMEOUT).await.expect("the watch opens");
    let first = client.txn(Transaction::new().put("a/1", b"x").put("b", b"y")).await;
    let revision = first.expect("the service responds").revision;
    let batch = loop {
        let batch = watch.next().await.expect("the watch delivers a batch");
        if !batch.changes.is_empty() {
            break batch;
        }
    };
    assert_eq!(batch.revision, revision);
    assert!(matches!(&batch.changes[..], [KeyChange::Put(stored)] if stored.key == "a/1"));
    let outage = KeyValueFaults { outage: Some(OutageKind::Refuse), ..KeyValueFaults::default() };
    keyvalue.update_faults(&outage);
    assert!(watch.next().await.expect_err("the outage ends the watch").is_outcome_unknown());
    keyvalue.update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
    client.txn(Transaction::new().delete_range("a/", "a0")).await.expect("the service responds");
    let mut watch =
        client.watch_prefix("a/", revision + 1, TEST_TIMEOUT).await.expect("the watch opens");
    let batch = watch.next().await.expect("the watch delivers a batch");
    assert_eq!(batch.changes, [KeyChange::Deleted("a/1".into())]);
}
