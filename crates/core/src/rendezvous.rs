//! Rendezvous hashing: ranks nodes for a key without coordination.
//!
//! When a node joins or leaves, only the keys for which that node has the highest score change
//! their first choice.

/// Returns the score of `node` for `key`. The node with the highest score is the first choice.
pub fn rendezvous_score(key: &[u8], node: u64) -> u64 {
    // FNV-1a over key and node, then the MurmurHash3 finalizer, because FNV-1a alone distributes
    // the high bits poorly.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.iter().chain(&node.to_le_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the position of a node in the order in which nodes come first for a key, from 0. All nodes
/// derive the same order from the same names.
pub fn node_rank<'a>(key: &[u8], own: &str, others: impl Iterator<Item = &'a str>) -> u32 {
    let score = |name: &str| rendezvous_score(key, rendezvous_score(name.as_bytes(), 0));
    let own_score = score(own);
    let before = others.filter(|name| score(name) > own_score).count();
    before.try_into().unwrap_or(u32::MAX)
}
