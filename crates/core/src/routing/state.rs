//! The state of an entry that all routing policies read.

use std::time::Duration;

use super::{
    CandidateCost, CandidateList, CandidateSource, CostModel, CostSettings, PrefixRates,
    RequestClass, RouteDecision, RouteReason, RouteRefusal, RouteRequest, ServerRecord,
    ServerTable, StragglerDetector,
    cost::{CostRequest, PrefixHit},
    table::LoadEstimate,
};
use crate::{
    admission::SlotLimits,
    clock::ClockTime,
    ids::ServerKey,
    prefix::{BlockIndex, HolderScratch, record_index},
};

/// Number of the KV cache store in the block index. The number of a server is its table index plus
/// one.
pub(super) const STORE_NUMBER: u16 = 0;

/// Settings of a router.
#[derive(Debug, Clone, Copy)]
pub struct RouterSettings {
    /// Speed parameters of the cost model.
    pub cost: CostSettings,
    /// Limits on the share of a server's slots that each request class may use.
    pub limits: SlotLimits,
    /// Number of records in the block index.
    pub block_capacity: usize,
    /// Number of entries that share the servers. The request rate of a prefix in the fleet is
    /// estimated as this entry's rate times this number.
    pub entry_count: u32,
    /// Whether a KV cache store exists.
    pub store: bool,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings {
            cost: CostSettings::default(),
            limits: SlotLimits::default(),
            block_capacity: 2_600_000,
            entry_count: 9,
            store: true,
        }
    }
}

/// The state that routing decisions are based on.
#[derive(Debug, Clone)]
pub struct RouterState {
    /// The router's settings.
    pub settings: RouterSettings,
    /// The known servers.
    pub table: ServerTable,
    /// The servers that are believed to hold each piece.
    pub index: BlockIndex,
    /// Estimates costs.
    pub cost: CostModel,
    /// Request rates of prefixes.
    pub prefix_rates: PrefixRates,
    /// Typical speed of the fleet, against which servers are compared.
    pub detector: StragglerDetector,
    /// Result of the last index lookup.
    pub(super) scratch: HolderScratch,
}

impl RouterState {
    /// Creates a state without servers.
    pub fn new(settings: RouterSettings) -> RouterState {
        RouterState {
            settings,
            table: ServerTable::default(),
            index: BlockIndex::with_capacity(settings.block_capacity),
            cost: CostModel::new(settings.cost),
            prefix_rates: PrefixRates::default(),
            detector: StragglerDetector::default(),
            scratch: HolderScratch::new(1),
        }
    }

    /// Looks up the request's chain in the block index. [`RouterState::evaluate`] uses the result.
    pub(super) fn lookup(&mut self, now: ClockTime, request: &RouteRequest<'_>) {
        self.index.lookup(now, request.chain.pieces(), &mut self.scratch);
    }

    /// Returns the prefix that a server is believed to hold according to the last lookup.
    pub(super) fn prefix_hit(&self, server: ServerKey) -> PrefixHit {
        let mut hit = PrefixHit::default();
        let number = index_number(server);
        for holder in self.scratch.holders() {
            if Some(holder.server) == number {
                hit.pieces = holder.pieces;
                hit.uncertain = holder.uncertain;
            } else if holder.server == STORE_NUMBER {
                hit.stored = holder.pieces;
            }
        }
        hit
    }

    /// Returns whether a server can answer the request, regardless of its load.
    pub(super) fn can_serve(&self, request: &RouteRequest<'_>, server: ServerKey) -> bool {
        let Some(record) = self.table.get(server) else { return false };
        !record.draining
            && !record.unreachable
            && record.weights_of(request.model) == Some(request.weights)
            && !request.excluded.contains(&server)
    }

    /// Returns whether a server has a free slot for the request and is not a straggler, unless it
    /// is due for a probe.
    pub(super) fn has_slot(
        &self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        server: ServerKey,
    ) -> bool {
        let record = self.table.get(server);
        record.is_some_and(|record| self.is_eligible(now, request, record, record.load_at(now)))
    }

    /// Returns whether a server has a free slot for the request, even if it is a straggler that is
    /// not due for a probe.
    pub(super) fn has_slot_as_straggler(
        &self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        server: ServerKey,
    ) -> bool {
        let record = self.table.get(server);
        record.is_some_and(|record| self.fits_slot_limits(request, record, record.load_at(now)))
    }

    fn is_eligible(
        &self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        record: &ServerRecord,
        load: LoadEstimate,
    ) -> bool {
        let is_excluded_straggler = record.straggler.is_straggler()
            && (record.in_flight.total() > 0 || !record.straggler.probe_due(now));
        !is_excluded_straggler && self.fits_slot_limits(request, record, load)
    }

    fn fits_slot_limits(
        &self,
        request: &RouteRequest<'_>,
        record: &ServerRecord,
        load: LoadEstimate,
    ) -> bool {
        if record.exclusive || (request.exclusive && record.in_flight.total() > 0) {
            return false;
        }
        let limits = &self.settings.limits;
        limits.admits(request.class, record.in_flight, load.requests, record.slots)
    }

    /// Estimates the cost of a server. Returns `None` if the server cannot answer the request.
    pub(super) fn evaluate(
        &self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        server: ServerKey,
        source: CandidateSource,
        homes: &[ServerKey],
    ) -> Option<CandidateCost> {
        if !self.can_serve(request, server) {
            return None;
        }
        let record = self.table.get(server)?;
        let home_rank = homes.iter().position(|&home| home == server).unwrap_or(homes.len());
        let mut hit = self.prefix_hit(server);
        hit.home = home_rank < homes.len();
        let cost_request = CostRequest {
            now,
            model: request.model,
            weights: request.weights,
            prompt_tokens: request.prompt_tokens,
        };
        let load = record.load_at(now);
        let (cost, transfer_pieces) =
            self.cost.estimate(&cost_request, record, load, hit, &self.detector);
        Some(CandidateCost {
            server,
            source,
            eligible: self.is_eligible(now, request, record, load),
            home_rank: home_rank as u8,
            hit_pieces: hit.pieces,
            uncertain_pieces: hit.uncertain,
            transfer_pieces,
            cost,
        })
    }

    /// Builds the decision for a chosen candidate.
    pub(super) fn decision_for(
        &self,
        chosen: &CandidateCost,
        reason: RouteReason,
        candidates: CandidateList,
    ) -> Result<RouteDecision, RouteRefusal> {
        let record = self.table.get(chosen.server).ok_or(RouteRefusal::NoServer)?;
        Ok(RouteDecision {
            server: chosen.server,
            incarnation: record.incarnation,
            reason,
            hit_pieces: chosen.hit_pieces,
            uncertain_pieces: chosen.uncertain_pieces,
            transfer_pieces: chosen.transfer_pieces,
            cost: chosen.cost,
            candidates,
        })
    }

    /// Returns why no candidate was chosen. `any_candidate` tells whether some server could answer
    /// if it had a free slot.
    pub(super) fn refusal(&self, request: &RouteRequest<'_>, any_candidate: bool) -> RouteRefusal {
        match self.table.ring(request.model) {
            None => RouteRefusal::NoServer,
            Some(ring) if ring.is_empty() => RouteRefusal::NoServer,
            Some(_) if !any_candidate => RouteRefusal::NoneEligible,
            Some(_) => {
                RouteRefusal::Saturated { retry_after: self.expected_slot_wait(request.class) }
            }
        }
    }

    /// Returns the expected time until any server has a free slot.
    fn expected_slot_wait(&self, class: RequestClass) -> Duration {
        let servers = self.table.len().max(1) as f32;
        let share = match class {
            RequestClass::Short => 1.0,
            RequestClass::Long => self.settings.limits.long_cap.max(0.1),
        };
        Duration::from_secs_f32(self.cost.service_ms() / servers / share / 1_000.0)
    }
}

/// Returns the number of a server in the block index, or `None` if it does not fit into 16 bits.
pub(super) fn index_number(server: ServerKey) -> Option<u16> {
    record_index(server)?.checked_add(1)
}
