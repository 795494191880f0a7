//! A node beside an external platform: callers, directory, readiness, peers and order duty in one
//! process on one thread.
//!
//! The crate hosts the decisions of [`carobvane_core::traffic`] and speaks HTTP. What the platform
//! calls things is known to its adapter alone, through the traits of [`wire`].

pub mod answers;
mod attempt;
pub mod body;
mod cache_events;
mod cache_store;
pub mod channel;
pub mod clock;
mod duty;
pub mod flags;
mod fleet;
mod flight;
mod front;
pub mod headers;
mod holding;
mod ingress;
mod listing;
mod logging;
mod members;
mod node;
mod notices;
mod peers;
mod pool;
mod program;
mod relay;
mod request;
mod salt;
pub mod settings;
mod socket;
mod sockets;
mod store;
pub mod wire;

pub use program::{RunningNode, run};
