//! The platform's store: calls, and the copy that this node keeps of it.

pub mod client;
pub mod removal_log;
pub mod store_changes;
pub mod store_mirror;
pub mod store_sync;
