//! Client of the key-value service's JSON gateway.
//!
//! Every call has a timeout, is counted in `metrics` and is held under a stated rate, because the
//! service's capacity grows more slowly than the fleet. Errors separate a call that had no effect
//! from a call whose effect is unknown, so that callers know when they have to read back.

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

/// Largest value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The first key after all keys that start with `prefix`; a zero byte, the gateway's "no end", if
/// there is none.
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
