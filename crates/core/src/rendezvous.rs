//! Rendezvous hashing: a stable order of nodes for a key.
//!
//! When a node joins or leaves, only the keys that it wins or loses change their order.

/// Score of `node` for `key`; the highest score wins.
pub fn rendezvous_score(key: &[u8], node: u64) -> u64 {
    // FNV-1a over key and node, then the finalizer of MurmurHash3 for spread in the high bits.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.iter().chain(&node.to_le_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
