//! Tests of the memory that responses share.

use std::sync::Arc;

use super::{GUARANTEED_BYTES, ResponseMemory, SHARED_BYTES};

/// Guards against responses that together take more memory than a node has, and against a small
/// response that fails because large ones take all.
#[test]
fn responses_share_a_bounded_memory() {
    let memory = Arc::new(ResponseMemory::default());
    let part = SHARED_BYTES / 4 + GUARANTEED_BYTES;
    let mut shares: Vec<_> = (0..5).map(|_| memory.share()).collect();
    let sizes: Vec<bool> = shares.iter_mut().map(|share| share.resize(part)).collect();
    assert_eq!(sizes, [true, true, true, true, false]);
    assert!(shares[4].resize(GUARANTEED_BYTES), "a small response always fits");
    shares.remove(0);
    assert!(shares[3].resize(part), "memory of a response that ended is free again");
    assert!(!shares[0].resize(part + 1), "no response can grow any more");
    assert!(shares[0].resize(0), "a response can give memory back");
    drop(shares);
    assert!(memory.share().resize(SHARED_BYTES + GUARANTEED_BYTES));
}
