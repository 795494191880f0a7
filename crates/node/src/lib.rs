//! A node beside an external platform: callers, directory, readiness, peers and order duty in one
//! process on one thread.
//!
//! The crate hosts the decisions of [`carobvane_core::traffic`] and speaks HTTP. What the platform
//! calls things is known to its adapter alone, through the traits of [`adapter`].

pub mod adapter;
mod attempt;
pub mod body;
mod cache_events;
mod cache_salt;
mod cache_store;
pub mod clock;
pub mod connection;
pub mod flags;
mod flight;
mod handlers;
pub mod headers;
mod ingress;
mod logging;
mod members;
mod node;
mod notices;
mod peers;
mod pool;
mod program;
mod registration;
mod relay;
mod request;
pub mod responses;
mod rollout;
mod rollout_lease;
pub mod settings;
mod sockets;
mod store;
mod store_sync;
mod tcp;

pub use program::{RunningNode, run};
