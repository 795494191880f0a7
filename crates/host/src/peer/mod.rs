//! Links between carobvane processes: QUIC with mutual TLS.

mod key;
mod link;
mod tls;

pub use key::FleetKey;
pub use link::{PeerInput, PeerLinks, PeerSender};
