//! Connections between carobvane processes: QUIC with mutual TLS.

mod connections;
mod key;
mod tls;

pub use connections::{PeerConnections, PeerEvent, PeerSender};
pub use key::FleetKey;
