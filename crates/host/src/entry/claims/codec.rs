//! Claims as keys and values of the key-value service.

use carobvane_core::claims::{BatchItem, ClaimKey, ClaimRecord, ExistingClaim};

use crate::keyvalue::{StoredValue, Transaction};

/// First part of all claim keys.
const CLAIM_PREFIX: &str = "claims/";

/// The key of a claim in the service.
pub fn key_text(key: &ClaimKey) -> String {
    format!("{CLAIM_PREFIX}{key}")
}

/// The transaction of a batch. Its failure branch reads every key.
pub fn batch_transaction(items: &[BatchItem], lease: i64) -> serde_json::Result<Transaction> {
    let mut transaction = Transaction::new();
    for item in items {
        let key = key_text(&item.key());
        transaction =
            match item {
                BatchItem::Create { record, .. } => transaction
                    .require_absent(&key)
                    .put_with_lease(&key, &serde_json::to_vec(record)?, lease),
                BatchItem::Store { revision, record, .. } => transaction
                    .require_revision(&key, *revision)
                    .put_with_lease(&key, &serde_json::to_vec(record)?, lease),
                BatchItem::Release { record, .. } => {
                    transaction.require_value(&key, &serde_json::to_vec(record)?).delete(&key)
                }
            };
        transaction = transaction.read_on_failure(&key);
    }
    Ok(transaction)
}

/// The claims among `keys` that the service holds.
pub fn existing_claims(keys: &[ClaimKey], values: Vec<StoredValue>) -> Vec<ExistingClaim> {
    let texts = keys.iter().map(|key| (key_text(key), *key));
    let by_text = texts.collect::<std::collections::HashMap<_, _>>();
    let existing = values.into_iter().filter_map(|stored| {
        let key = *by_text.get(&stored.key)?;
        let record = serde_json::from_slice::<ClaimRecord>(&stored.value).ok();
        Some(ExistingClaim { key, revision: stored.mod_revision, record })
    });
    existing.collect()
}
