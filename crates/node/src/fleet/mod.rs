//! The other nodes: who they are, and the notices that nodes exchange.

pub mod legacy_nodes;
pub mod members;
pub mod node_notice;
pub mod notice_transport;
pub mod notices;
pub mod peer_knowledge;
pub mod peer_server;
pub mod peers;
pub mod registration;
pub mod wire;
pub mod workspace_limits;
