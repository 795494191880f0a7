//! Placements that entries tell one another.
//!
//! Load reports and cache events show a request of another entry only after its prompt was
//! computed. In a crest entries that rely on them alone choose the same idle server, and compute
//! the same prefix on several.

use serde::{Deserialize, Serialize};

use super::{DispatchKey, PrefixRouter, RoutingPolicy, state::index_number};
use crate::{
    clock::ClockTime,
    ids::{AddressId, IncarnationId},
    prefix::{BlockSource, PieceHash, PrefixChain},
};

/// A request that another entry has just sent to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementNotice {
    /// Where it was sent.
    pub address: AddressId,
    /// The life that it was sent to.
    pub incarnation: IncarnationId,
    /// Prompt tokens that the server is expected to compute.
    pub missing_tokens: u32,
    /// The prompt's pieces, which the server is about to hold.
    pub pieces: Vec<PieceHash>,
}

impl<P: RoutingPolicy> PrefixRouter<P> {
    /// What other entries should know of a request that was sent.
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

    /// Notes a request that another entry has sent. Its pieces count as held by the server until an
    /// event corrects that. A notice about another life is ignored.
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
