//! Chooses a backend server by explicit cost in milliseconds.
//!
//! [`PrefixRouter`] holds what the entry knows about its servers and asks a [`RoutingPolicy`] to
//! choose. All policies see the same state, so a replay compares them on equal terms. A decision
//! looks at a bounded set of candidates, which keeps its cost independent of the fleet's size.

mod attempt_budget;
mod baselines;
mod candidates;
mod cost;
mod dispatch;
mod placement_notice;
mod policy;
mod prefix_rates;
mod request;
mod ring;
mod router;
mod state;
mod straggler;
mod table;
mod update;

pub use self::{
    attempt_budget::{AttemptBudget, hedge_delay},
    baselines::{LeastLoaded, LeastLoadedPrefix, PrefixHashing, RoundRobin},
    candidates::{CandidateCost, CandidateList, CandidateSource, MAX_CANDIDATES},
    cost::{CostModel, CostParts, CostSettings},
    dispatch::DispatchKey,
    placement_notice::PlacementNotice,
    policy::{CostPolicy, RoutingPolicy},
    prefix_rates::PrefixRates,
    request::{RequestClass, RouteDecision, RouteReason, RouteRefusal, RouteRequest},
    ring::ServerRing,
    router::{MAX_SLOT_CHECKS, PrefixRouter},
    state::{RouterSettings, RouterState},
    straggler::{StragglerDetector, StragglerState},
    table::{ClassCounts, ReportedLoad, ServerRecord, ServerTable, ServerUpdate},
    update::{CacheUpdate, FailureKind},
};
