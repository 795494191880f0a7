//! Runs the state machines of `carobvane_core` in a process.
//!
//! `carobvane_core` does no I/O. This crate adds sockets, TLS, settings, logs and metrics, and the
//! loops that drive entries and stewards.

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
