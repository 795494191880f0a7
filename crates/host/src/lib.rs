//! Hosts the decision library: sockets, TLS, settings, logs and metrics.

pub mod clock;
pub mod logging;
pub mod peer;
pub mod settings;
