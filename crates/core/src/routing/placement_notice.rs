//! Notices by which entries announce their routing decisions to each other.
//!
//! Load reports and cache events show another entry's request only after its prompt was computed.
//! At peak load, entries that relied on them alone chose the same idle server, and computed the
//! same prefix on several servers.

use serde::{Deserialize, Serialize};

use super::{DispatchKey, PrefixRouter, RoutingPolicy, state::index_number};
use crate::{
    clock::ClockTime,
    ids::{AddressId, IncarnationId},
    prefix::{BlockSource, PieceHash, PrefixChain},
};

/// Announces a request that the sending entry has just sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementNotice {
    /// Address of the chosen server.
    pub address: AddressId,
    /// Incarnation of the server that the request was sent to.
    pub incarnation: IncarnationId,
    /// Number of prompt tokens that the server is expected to compute.
    pub missing_tokens: u32,
    /// The prompt's pieces, which the server will hold.
    pub pieces: Vec<PieceHash>,
}

impl<P: RoutingPolicy> PrefixRouter<P> {
    /// Returns the notice for other entries about a request that was sent, or `None` if it has
    /// ended.
    pub fn placement_notice(
        &self,
        key: DispatchKey,
        chain: &PrefixChain,
    ) -> Option<PlacementNotice> {
        let dispatch = self.dispatches.get(key)?;
        Some(PlacementNotice {
            address: self.state.table.get(dispatch.server)?.address,
            incarnation: dispatch.incarnation,
            missing_tokens: dispatch.waiting_tokens,
            pieces: chain.pieces().to_vec(),
        })
    }

    /// Applies another entry's notice. The request's pieces count as cached by the server until a
    /// cache event says otherwise. A notice about another incarnation is ignored.
    pub fn apply_placement_notice(&mut self, now: ClockTime, notice: &PlacementNotice) {
        let Some(server) = self.state.table.by_address(notice.address) else { return };
        let Some(record) = self.state.table.get_mut(server) else { return };
        if record.incarnation != notice.incarnation {
            return;
        }
        record.add_announced_request(now, notice.missing_tokens);
        if let Some(number) = index_number(server) {
            for &piece in &notice.pieces {
                self.state.index.insert(now, number, piece, BlockSource::Decision);
            }
        }
    }
}
