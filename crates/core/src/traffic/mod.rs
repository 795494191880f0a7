//! Decisions of a node that serves callers beside an external platform.
//!
//! The platform keeps the configuration, lists the backend servers and names the weights; this
//! module decides what follows from that: which route a request takes, which server runs it,
//! whether it may run again, when it is refused, and when servers load new weights.

mod cache_map;
mod choice;
mod config;
mod cost;
mod directory;
mod event_stream;
mod health;
mod next_step;
mod orders;
mod placement;
mod prefill_lane;
mod prompt;
mod reading;
mod retry_budget;
mod rollout;
mod roster;
mod suspects;
mod weights_history;

pub use self::{
    cache_map::{CacheBelief, CacheMap, CacheNews},
    choice::{CacheSource, PlacementChoice, PlacementRefusal, PlacementRequest},
    config::{
        CacheStoreSpec, CallerLimits, EngineSpec, RouteError, RouteKind, RouteMatch, RouteRule,
        RouteTable, RouteTarget, ServiceRole, ServiceSpec, TrafficConfig, WorkspaceSpec,
    },
    directory::{DirectoryAnswer, DirectoryMember, EntryChooser},
    event_stream::{EventCut, EventError, EventSplitter},
    health::{ServerHealth, ServerLoad},
    next_step::{AttemptEnd, CallerFailure, NextStep, RunHistory},
    orders::{OrderReply, RolloutEffect, RolloutSettings, ServerOrder},
    placement::{PlacementPlanner, cache_salt},
    prefill_lane::{HEAVY_PROMPT_TOKENS, PrefillLane},
    prompt::{PromptPart, PromptShape},
    reading::ReadingBacklog,
    retry_budget::{BudgetShare, RetryBudget},
    rollout::RolloutPlanner,
    roster::{
        BackendServer, ListingState, ModelWeights, RosterChange, ServerListing, ServerRoster,
        ServerStanding,
    },
    suspects::{CrashBook, CrashVerdict},
    weights_history::WeightsHistory,
};
