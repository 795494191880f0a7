//! Client of the key-value service, through the JSON gateway of etcd v3.
//!
//! Every call has a timeout, is counted in a metric and is rate limited, because the capacity of
//! the service grows more slowly than the fleet. Errors distinguish calls that had no effect from
//! calls whose outcome is unknown; after the latter, the caller must read the key back.

mod client;
mod error;
mod rate_limit;
mod transaction;
mod watch;

#[cfg(test)]
mod tests;

pub use client::{KeyvalueClient, KeyvalueSettings, LeaseGrant, StoredValue};
pub use error::KeyvalueError;
pub use rate_limit::CallRateLimiter;
pub use transaction::{Transaction, TransactionResult};
pub use watch::{KeyChange, WatchBatch, WatchStream};

/// Maximum size of a value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Returns the exclusive end of the range of all keys that start with `prefix`.
///
/// This is the first key after them. If there is none (the prefix is empty or all `0xff`), it is a
/// single zero byte, which the gateway takes as "no end".
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
