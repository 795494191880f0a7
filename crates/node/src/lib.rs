//! The entry node beside an external platform. It serves clients, the directory, the readiness
//! check and other nodes, and sends the orders to load weights, in one process on one thread.
//!
//! The crate does the I/O for the decisions of [`carobvane_core::traffic`] and speaks HTTP. Only
//! the platform's adapter, which implements the traits of [`adapter`], knows the names that the
//! platform uses.

pub mod adapter;
mod attempt;
pub mod body;
mod cache_events;
mod cache_salt;
mod cache_store;
mod checked_response;
pub mod clock;
pub mod connection;
mod crash_store;
mod crashes;
pub mod flags;
mod flight;
mod forward;
mod handlers;
pub mod headers;
mod ingress;
mod legacy_nodes;
mod links;
mod local_response;
mod logging;
mod members;
mod metered_stream;
mod node;
mod node_notice;
mod notice_transport;
mod notices;
mod order_record;
mod peer_knowledge;
mod peer_server;
mod peers;
mod pool;
mod program;
mod registration;
mod relay;
mod request;
mod request_context;
mod request_log;
mod response_memory;
pub mod responses;
mod rollout;
mod rollout_lease;
mod server_choice;
mod server_limits;
mod server_outcomes;
mod server_signals;
pub mod settings;
mod sockets;
mod store;
mod store_changes;
mod store_mirror;
mod store_sync;
mod stream_origin;
mod stream_query;
mod tcp;
mod wire;

pub use program::{RunningNode, run};
