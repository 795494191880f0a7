//! The platform's store: calls, and the copy that this node keeps of it.

pub mod client;
pub mod removal_log;
pub mod software_store;
pub mod store_availability;
pub mod store_changes;
pub mod store_mirror;
pub mod store_sync;
