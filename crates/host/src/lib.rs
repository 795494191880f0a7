//! Hosts of the decision library: sockets, settings, logs and metrics.

pub mod keyvalue;
pub mod list_store;
