//! How the memory of a machine is divided, from the settings.

use super::BodyLimits;

/// Memory kept for the node itself: the program, its state, the fleet's records and what the allocator
/// cannot reuse, in bytes. An idle node takes 17 MB; the bound for control is 64 MB at 780 nodes.
const NODE_BYTES: usize = 48_000_000;
/// Memory of one open connection without its body and its response, in bytes: a head of the largest
/// default size. 128 half-open heads of 12 KiB took 1 to 2 MB.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Largest guaranteed size of a body or response, in bytes.
const MAX_GUARANTEED_BYTES: usize = 64 * 1024;
/// Bounds of the receive and send buffers of a client's connection, in bytes.
const SOCKET_BUFFER_BYTES: (usize, usize) = (8 * 1024, 64 * 1024);
/// Most that all responses together may take beyond their guaranteed sizes, in bytes; a node without a
/// memory limit has that much.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Division of the memory that a node holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory for the bodies of requests.
    pub bodies: BodyLimits,
    /// Memory for servers' responses.
    pub responses: BodyLimits,
    /// Connections that all listeners together accept.
    pub max_connections: u32,
    /// Connections that one client address may have. All clients of a site may share one address, so
    /// this only keeps a quarter for others.
    pub max_address_connections: u32,
    /// Size of the receive and of the send buffer of each accepted connection; bytes that were not
    /// read yet count as memory of the node.
    pub socket_buffer_bytes: usize,
    /// Bytes of a stream that are queued for its client.
    pub max_queued_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory of a machine of which a node may take `memory_bytes`, and accept
    /// `max_connections` connections by its descriptors.
    pub fn new(memory_bytes: usize, max_connections: u32) -> MemoryPlan {
        let own = NODE_BYTES.max(memory_bytes / 2);
        let shared = memory_bytes.saturating_sub(own).max(memory_bytes / 4);
        let by_memory = shared / 2 / CONNECTION_BYTES;
        let max_connections =
            max_connections.min(u32::try_from(by_memory).unwrap_or(u32::MAX)).max(1);
        let per_connection = shared / 8 / max_connections as usize;
        let guaranteed_bytes = per_connection.min(MAX_GUARANTEED_BYTES);
        let socket_bounds = SOCKET_BUFFER_BYTES;
        MemoryPlan {
            // The bytes of a body are also queued on the way to the server, so bodies get less than half.
            bodies: BodyLimits { guaranteed_bytes, shared_bytes: shared / 8 * 3 },
            responses: BodyLimits {
                guaranteed_bytes,
                shared_bytes: (shared / 4).min(MAX_RESPONSE_BYTES),
            },
            max_connections,
            max_address_connections: (max_connections / 4 * 3).max(1),
            socket_buffer_bytes: per_connection.clamp(socket_bounds.0, socket_bounds.1),
            max_queued_bytes: guaranteed_bytes.max(SOCKET_BUFFER_BYTES.0),
        }
    }
}
