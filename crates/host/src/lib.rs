//! Hosts the decision library: sockets, TLS, settings, logs and metrics.

pub mod clock;
pub mod entry;
pub mod keyvalue;
pub mod list_store;
pub mod logging;
pub mod node;
pub mod peer;
pub mod settings;
pub mod signals;
pub mod steward;
pub mod telemetry;
