//! The simulated key-value store, which runs conditional transactions and reads.

use std::collections::HashMap;

use carobvane_core::claims::{BatchItem, ClaimKey, ClaimRecord, ExistingClaim};

use super::ClaimMessage;
use crate::check::StepContext;

/// Handles a message at the store. A transaction is applied only if the conditions of all its items
/// hold; otherwise the reply contains the claims that exist.
pub(super) fn receive(
    values: &mut HashMap<ClaimKey, (i64, ClaimRecord)>,
    revision: &mut i64,
    from: usize,
    message: ClaimMessage,
    context: &mut StepContext<'_, ClaimMessage>,
) {
    let (incarnation, call_id, keys) = match message {
        ClaimMessage::Write(incarnation, call_id, items) => {
            if items.iter().all(|item| condition_holds(values, item)) {
                *revision += 1;
                for item in items {
                    match item {
                        BatchItem::Create { key, record }
                        | BatchItem::Store { key, record, .. } => {
                            values.insert(key, (*revision, record));
                        }
                        BatchItem::Release { key, .. } => {
                            values.remove(&key);
                        }
                    }
                }
                return context.send(from, ClaimMessage::Written(incarnation, call_id, *revision));
            }
            (incarnation, call_id, items.iter().map(BatchItem::key).collect())
        }
        ClaimMessage::ReadBack(incarnation, call_id, keys) => (incarnation, call_id, keys),
        _ => return,
    };
    let existing = keys
        .into_iter()
        .filter_map(|key| {
            let (revision, record) = values.get(&key)?;
            Some(ExistingClaim { key, revision: *revision, record: Some(record.clone()) })
        })
        .collect();
    context.send(from, ClaimMessage::Existing(incarnation, call_id, *revision, existing));
}

fn condition_holds(values: &HashMap<ClaimKey, (i64, ClaimRecord)>, item: &BatchItem) -> bool {
    let found = values.get(&item.key());
    match item {
        BatchItem::Create { .. } => found.is_none(),
        BatchItem::Store { revision, .. } => found.is_some_and(|found| found.0 == *revision),
        BatchItem::Release { record, .. } => found.is_some_and(|found| found.1 == *record),
    }
}
