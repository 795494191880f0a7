//! Converts claims to transactions of the key-value service, and its values back to claims.

use carobvane_core::claims::{BatchItem, ClaimKey, ClaimRecord, ExistingClaim};

use crate::keyvalue::{StoredValue, Transaction};

/// Prefix of all claim keys in the key-value service.
const CLAIM_PREFIX: &str = "claims/";

/// Returns the key of a claim in the key-value service.
pub fn key_text(key: &ClaimKey) -> String {
    format!("{CLAIM_PREFIX}{key}")
}

/// Builds the transaction of a batch, whose puts use `lease`. It is written whole or not at all; if
/// a condition fails, it reads all keys instead.
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

/// Converts values that were read back to claims. A value that is not a valid record gives a claim
/// without one.
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
