//! Tests of `ListStore`, which stores the versions of the lists, against the key-value stand-in.

use std::time::Duration;

use carobvane_core::lists::{
    BackendServer, ListDocument, ListSnapshot, ListVersion, ModelWeights, ServerRole,
};
use carobvane_host::{
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    list_store::{ListStore, RETAINED_VERSIONS, StoredLists, WriteOutcome},
    node::ListSource,
};
use carobvane_standin::keyvalue::{self, KeyValueHandle, KeyValueSettings};

/// A client whose timeout and rate limits do not restrict these tests.
fn keyvalue_client(keyvalue: &KeyValueHandle) -> KeyvalueClient {
    let mut settings = KeyvalueSettings::new(format!("http://{}", keyvalue.addr()));
    settings.timeout = Duration::from_secs(20);
    settings.reads_per_second = 100_000;
    settings.writes_per_second = 100_000;
    KeyvalueClient::new(settings)
}

/// Starts a stand-in that answers without delay and whose rate limits do not restrict these tests.
async fn start_keyvalue() -> KeyValueHandle {
    let settings = KeyValueSettings {
        answer_ms: 0.0,
        reads_per_second: 100_000,
        writes_per_second: 100_000,
        ..KeyValueSettings::default()
    };
    keyvalue::start(settings).await.expect("the stand-in starts")
}

/// A document that differs from others only by the weights version of its single model.
fn document_with_weights(version: u64) -> ListDocument {
    let mut document = ListDocument::default();
    document.weights.insert("m".into(), ModelWeights { version, ..ModelWeights::default() });
    document
}

/// Writes a document with this weights version on top of `stored` and returns its list version.
/// Panics on a conflict.
async fn write_accepted(store: &ListStore, stored: &StoredLists, version: u64) -> ListVersion {
    match store
        .write(stored, &document_with_weights(version))
        .await
        .expect("the key-value service responds")
    {
        WriteOutcome::Accepted(accepted) => accepted,
        WriteOutcome::Conflict(head) => panic!("conflict with {head:?}"),
    }
}

/// Guards against versions before or after a snapshot that cannot be read back, and against a
/// writer that uses other keys or another encoding than the nodes that read the lists.
#[actix_rt::test]
async fn every_version_can_be_read_back() {
    const LAST: u64 = 130;
    let keyvalue = start_keyvalue().await;
    let store = ListStore::new(keyvalue_client(&keyvalue));
    let source = ListSource::new(keyvalue_client(&keyvalue));
    let mut versions = vec![ListVersion::default()];
    for number in 1..=LAST {
        let stored = store.load().await.expect("the key-value service responds");
        versions.push(write_accepted(&store, &stored, number).await);
    }
    // Versions 1, 64 and 128 are stored with a snapshot of the whole document.
    for number in [1, 2, 63, 64, 65, 127, 128, 129, LAST] {
        let before = keyvalue.counters().reads;
        let snapshot = store.load_version(number).await.expect("the version is stored");
        assert!(keyvalue.counters().reads - before <= 2);
        assert_eq!(snapshot.version, versions[number as usize]);
        assert_eq!(snapshot.document, document_with_weights(number));
        let seen =
            source.read_snapshot(&snapshot.version).await.expect("nodes can read the version");
        assert_eq!(seen, snapshot);
    }
    assert!(store.load_version(LAST + 1).await.is_err());
}

/// Guards against two writers that both succeed in changing the same version.
#[actix_rt::test]
async fn only_one_of_two_writers_succeeds() {
    let keyvalue = start_keyvalue().await;
    let store = ListStore::new(keyvalue_client(&keyvalue));
    for number in 1..4 {
        let stored = store.load().await.expect("the key-value service responds");
        let accepted = write_accepted(&store, &stored, number).await;
        let outcome = store.write(&stored, &document_with_weights(number + 100)).await;
        match outcome.expect("the key-value service responds") {
            WriteOutcome::Conflict(head) => assert_eq!(head.version, accepted),
            WriteOutcome::Accepted(second) => panic!("both {accepted:?} and {second:?}"),
        }
    }
}

/// Guards against lists of the largest fleet, with 12,000 servers, that exceed the largest value
/// that the key-value service stores.
#[actix_rt::test]
async fn lists_of_the_largest_fleet_fit() {
    let mut document = document_with_weights(1);
    for number in 0..12_000 {
        let server = BackendServer {
            address: format!("10.100.{}.{}:8000", number / 250, number % 250),
            role: ServerRole::Engine("model-large".into()),
            data_centre: format!("region-{}-{}", number % 6, number % 21),
            checks_fencing: true,
            slots: 32,
        };
        document.servers.insert(format!("engine-{number:05}"), server);
    }
    let keyvalue = start_keyvalue().await;
    let store = ListStore::new(keyvalue_client(&keyvalue));
    let outcome = store.write(&StoredLists::default(), &document).await;
    assert!(matches!(outcome, Ok(WriteOutcome::Accepted(_))), "{outcome:?}");
    let stored = store.load().await.expect("the key-value service responds");
    assert_eq!(stored.snapshot.document, document);
}

/// Guards against old versions that fill up the key-value service, and against the deletion of
/// versions that operators may still revert to.
#[actix_rt::test]
async fn old_versions_are_deleted_with_a_snapshot() {
    let keyvalue = start_keyvalue().await;
    let store = ListStore::new(keyvalue_client(&keyvalue));
    let stored = store.load().await.expect("the key-value service responds");
    write_accepted(&store, &stored, 1).await;
    let source = ListSource::new(keyvalue_client(&keyvalue));
    for number in [RETAINED_VERSIONS, 2 * RETAINED_VERSIONS - 1] {
        let document = document_with_weights(number);
        let snapshot = ListSnapshot { version: ListVersion::first(number, &document), document };
        let head = store.load_head().await.expect("the key-value service responds");
        assert!(
            source
                .write_back(&snapshot, head.revision)
                .await
                .expect("the key-value service responds")
        );
    }
    let stored = store.load().await.expect("the key-value service responds");
    write_accepted(&store, &stored, 2 * RETAINED_VERSIONS).await;
    assert!(store.load_version(1).await.is_err());
    assert!(store.load_changes(1, 1).await.expect("the key-value service responds").is_empty());
    let oldest = store.load_version(RETAINED_VERSIONS).await.expect("the version is kept");
    assert_eq!(oldest.document, document_with_weights(RETAINED_VERSIONS));
}
