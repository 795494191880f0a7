//! Decisions of a node that serves clients of an external platform.
//!
//! The platform stores the configuration, lists the backend servers and announces new weights.
//! From that, this module decides which route a request takes, which server runs it, whether it is
//! retried or refused, and when servers load new weights.

mod attempt_history;
mod brittle_server;
mod cache_map;
mod cache_scope;
mod cache_stores;
mod config;
mod crash_messages;
mod crash_sharing;
mod crash_tracker;
mod crash_verdict;
mod entry_directory;
mod event_stream;
mod health;
mod kv_transfers;
mod latency;
mod leaving_notices;
mod long_prompt_pool;
mod notice_relays;
mod placement;
mod placement_limits;
mod placement_request;
mod placement_score;
mod placement_spread;
mod prefill_backlog;
mod prefix_heat;
mod prefix_placement;
mod prompt;
mod recent_runs;
mod registry;
mod retry_budget;
mod rollout;
mod rollout_messages;
mod server_limit;
mod server_links;
mod server_loading;
mod server_model;
mod silent_servers;
mod software_record;
mod store_outage;
mod stream_origins;
mod suspension;
mod unresolved_runs;
mod watch_reports;
mod weights_history;

pub use self::{
    attempt_history::{AttemptHistory, AttemptOutcome, NextStep, RequestFailure},
    brittle_server::{BrittleServer, ServerOccupancy},
    cache_map::{CacheChanges, CacheConfidence, CacheMap},
    cache_scope::{CacheScope, IsolatedSet},
    cache_stores::{CacheStores, StoreChange, StoreId, StoreSite},
    config::{
        CacheStoreSpec, ClientLimits, EngineSpec, RouteError, RouteKind, RouteMatch, RouteRule,
        RouteTable, RouteTarget, ServiceRole, ServiceSpec, TrafficConfig, WorkspaceSpec,
    },
    crash_messages::{CrashEvent, CrashReport, CrashRuling, CrashVerdict, RunEnd, ServerRun},
    crash_tracker::{CRASH_LIFETIME, CrashTracker},
    crash_verdict::MAX_CRASHES,
    entry_directory::{DirectoryResponse, EntryNode, EntrySelector},
    event_stream::{CompleteEvents, EventError, EventSplitter},
    health::{ServerHealth, ServerLoad},
    kv_transfers::{EngineLinks, KvTransfers},
    leaving_notices::LeavingNotices,
    long_prompt_pool::{LONG_PROMPT_TOKENS, LongPromptPool},
    notice_relays::{
        DuplicateFilter, HEARTBEAT_INTERVAL, MIN_RELAYED_NODES, RelayPeer, RelayPlan, RelayTable,
        RelayTarget,
    },
    placement::PlacementPlanner,
    placement_request::{CacheSource, PlacementChoice, PlacementRefusal, PlacementRequest},
    placement_spread::RequestRates,
    prefill_backlog::{DEFAULT_PRIORITY, PrefillBacklog},
    prefix_heat::PrefixHeat,
    prefix_placement::cache_salt,
    prompt::{PromptPart, PromptShape},
    registry::{
        BackendServer, ListingState, ModelWeights, RegistryChange, ServerAvailability,
        ServerListing, ServerRegistry,
    },
    retry_budget::{BudgetShare, RetryBudget},
    rollout::RolloutPlanner,
    rollout_messages::{LoadOrder, OrderReply, RolloutEffect, RolloutSettings},
    server_limit::{LimitRank, LimitStatement, ServerLimit},
    server_links::{BLAME_DELAY, BlamedServer, LinkCheck, LinkFailure, LinkState, ServerLinks},
    server_model::{KvMemory, LatencyParts, ServerModel, ServerSpeed, SpeedSample},
    silent_servers::{
        HEARD_NOTICE_AGE, PROBERS, ProbeSchedule, ReportRule, ServerSilence, SilenceChange,
        overdue_after,
    },
    software_record::SoftwareRecord,
    store_outage::{OutageChange, StoreOutage},
    stream_origins::{SoftwareReport, SoftwareRule, StreamKey, StreamOrigins},
    suspension::SuspensionDetector,
    watch_reports::{WatchReport, WatchReports},
    weights_history::WeightsHistory,
};
