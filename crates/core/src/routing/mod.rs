//! Chooses a backend server by explicit cost in milliseconds.
//!
//! [`PrefixRouter`] holds what the entry knows about its servers and asks a [`RoutingPolicy`] to
//! choose. All policies see the same state, so a replay compares them on equal terms. A decision
//! looks at a bounded set of candidates, which keeps its cost independent of the fleet's size.

mod baselines;
mod candidates;
mod cost;
mod dispatch;
mod heat;
mod hedge;
mod notice;
mod policy;
mod request;
mod ring;
mod router;
mod state;
mod straggler;
mod table;
mod update;

pub use self::{
    baselines::{LeastLoaded, LeastLoadedPrefix, PrefixHashing, RoundRobin},
    candidates::{CandidateCost, CandidateList, CandidateSource, MAX_CANDIDATES},
    cost::{CostModel, CostParts, CostSettings},
    dispatch::DispatchKey,
    heat::HeatTracker,
    hedge::{HedgeBudget, hedge_delay},
    notice::PlacementNotice,
    policy::{CostPolicy, RoutingPolicy},
    request::{RequestClass, RouteDecision, RouteReason, RouteRefusal, RouteRequest},
    ring::ServerRing,
    router::{PrefixRouter, ROOM_TRIES},
    state::{RouterSettings, RouterState},
    straggler::{StragglerDetector, StragglerState},
    table::{ClassCounts, ReportedLoad, ServerRecord, ServerSeen, ServerTable},
    update::{CacheUpdate, FailureKind},
};
