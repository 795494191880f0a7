//! Chooses a backend server for each request by its estimated cost in milliseconds.
//!
//! [`PrefixRouter`] keeps the routing state of one entry (a node that accepts client requests) and
//! asks a [`RoutingPolicy`] to choose. All policies read the same state, so replays can compare
//! them fairly. A decision evaluates at most [`MAX_CANDIDATES`] servers, so its cost does not grow
//! with the fleet.

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
