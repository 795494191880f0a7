//! The entry node beside an external platform. It serves clients, the directory, the readiness
//! check and other nodes, and sends the orders to load weights, in one process on one thread.
//!
//! The crate does the I/O for the decisions of [`carobvane_core::traffic`] and speaks HTTP. Only
//! the platform's adapter, which implements the traits of [`adapter`], knows the names that the
//! platform uses.

pub mod adapter;
pub mod client;
pub mod clock;
pub mod flags;
mod fleet;
mod logging;
mod node;
mod program;
mod rollout;
mod server;
pub mod settings;
mod sockets;
mod store;
mod tcp;

pub use program::{RunningNode, run};
