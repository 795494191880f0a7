//! Replays one trace with one routing policy.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use carobvane_core::{
    admission::{FairQueue, QueueSettings, TokenCosts, WorkPredictor},
    arena::KeyArena,
    clock::ClockTime,
    ids::{RequestKey, WorkspaceKey},
    routing::AttemptBudget,
};
use carobvane_standin::engine::EngineCounters;

use super::{
    feeds,
    fleet::EngineFleet,
    request::{self, PreparedRequest, QueuedRequest},
    selector::EngineSelector,
};
use crate::trace::{TraceClass, TraceRequest};

/// Tokens in one prompt piece.
pub const PIECE_TOKENS: u32 = 2_000;
/// Prefill time of the simulated engines, in milliseconds per token.
pub const PREFILL_MS: f32 = 0.04;
/// Decode time at a typical batch size, in milliseconds per token.
pub const DECODE_MS: f32 = 11.0;
/// Interval at which the queue is checked for requests that can start, in simulated milliseconds.
const QUEUE_POLL_INTERVAL_MS: f64 = 20.0;
/// Real time that is allowed for outstanding requests after the last arrival.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of a replay that do not depend on the routing policy.
#[derive(Debug, Clone, Copy)]
pub struct ReplaySettings {
    /// Simulated milliseconds that pass in one real millisecond.
    pub time_scale: f64,
    /// Whether requests wait in the fair queue, and are refused if they cannot meet their deadline.
    pub admission: bool,
    /// Whether requests carry an engine priority.
    pub priorities: bool,
    /// Whether a second attempt starts when the first token of a short request is late.
    pub hedging: bool,
}

/// The outcome of a request. Times are simulated milliseconds after the arrival unless stated
/// otherwise.
#[derive(Debug, Clone, Copy)]
pub struct RequestOutcome {
    /// The request's class.
    pub class: TraceClass,
    /// Arrival time, in milliseconds from the start of the trace.
    pub arrival_ms: u64,
    /// Deadline of the complete response.
    pub deadline_ms: u64,
    /// When the first token arrived; `None` if none did.
    pub first_token_ms: Option<f64>,
    /// When the response was complete; `None` if it never was.
    pub complete_ms: Option<f64>,
    /// Whether the request was refused before it ran.
    pub refused: bool,
    /// Number of attempts on engines.
    pub attempts: usize,
}

/// The result of a replay.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// One outcome for each completion request of the trace, in the order of their ends.
    pub outcomes: Vec<RequestOutcome>,
    /// Sum of the engines' counters over the trace, without the warm-up.
    pub counters: EngineCounters,
    /// Tokens of the distinct pieces of all requests that got a first token, without pieces seen in
    /// the warm-up. A single unbounded cache would have computed exactly these.
    pub distinct_tokens: u64,
}

/// State shared by the tasks of a replay.
pub struct RunState<C: EngineSelector> {
    pub(super) selector: RefCell<C>,
    pub(super) settings: ReplaySettings,
    pub(super) client: Client,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) queue: RefCell<FairQueue>,
    pub(super) predictor: RefCell<WorkPredictor>,
    pub(super) budget: RefCell<AttemptBudget>,
    pub(super) waiting: RefCell<HashMap<RequestKey, QueuedRequest<C::AttemptKey>>>,
    pub(super) outcomes: RefCell<Vec<RequestOutcome>>,
    pub(super) seen_pieces: RefCell<HashSet<u64>>,
    started_at: Instant,
}

impl<C: EngineSelector> RunState<C> {
    /// Simulated time since the start of the replay.
    pub fn now(&self) -> ClockTime {
        let simulated = self.started_at.elapsed().as_secs_f64() * self.settings.time_scale;
        ClockTime::from_micros((simulated * 1_000_000.0) as u64)
    }

    /// Simulated milliseconds that pass in one real millisecond.
    pub fn time_scale(&self) -> f64 {
        self.settings.time_scale
    }

    /// Converts a simulated time, in milliseconds since the start, to a real instant.
    pub fn real_instant(&self, simulated_ms: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(simulated_ms / self.settings.time_scale / 1_000.0)
    }
}

/// Replays the completion requests of a warm-up and then of a trace. The result covers the trace
/// only. Bookings are skipped, because routing does not affect them.
pub async fn replay_trace<C: EngineSelector>(
    fleet: &EngineFleet,
    selector: C,
    warm_up: &[TraceRequest],
    trace: &[TraceRequest],
    settings: ReplaySettings,
) -> RunResult {
    let slots: u32 = fleet.engines.iter().map(|engine| engine.current_load().slots).sum();
    let costs = TokenCosts { prefill_ms: PREFILL_MS, decode_ms: DECODE_MS };
    let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout().finish();
    let run = Rc::new(RunState {
        selector: RefCell::new(selector),
        settings,
        client: client.clone(),
        addresses: fleet.addresses(),
        queue: RefCell::new(FairQueue::new(QueueSettings::default(), slots as f32)),
        predictor: RefCell::new(WorkPredictor::new(costs)),
        budget: RefCell::new(AttemptBudget::new()),
        waiting: RefCell::new(HashMap::new()),
        outcomes: RefCell::new(Vec::new()),
        seen_pieces: RefCell::new(HashSet::new()),
        started_at: Instant::now(),
    });
    let mut background_tasks = vec![actix_rt::spawn(poll_queue(run.clone()))];
    for (engine, addr) in run.addresses.iter().copied().enumerate() {
        let (event_client, load_client) = (client.clone(), client.clone());
        background_tasks.push(actix_rt::spawn(feeds::follow_cache_events(
            run.clone(),
            event_client,
            engine,
            addr,
        )));
        background_tasks.push(actix_rt::spawn(feeds::poll_load_reports(
            run.clone(),
            load_client,
            engine,
            addr,
        )));
    }
    let (warm_up, trace) = prepare_requests(warm_up, trace);
    replay_requests(&run, warm_up).await;
    run.outcomes.borrow_mut().clear();
    let counters = fleet.counters();
    let earlier_pieces = run.seen_pieces.borrow().len();
    replay_requests(&run, trace).await;
    background_tasks.iter().for_each(|task| task.abort());
    let distinct = run.seen_pieces.borrow().len() - earlier_pieces;
    let outcomes = run.outcomes.borrow().clone();
    RunResult {
        outcomes,
        counters: counter_difference(&fleet.counters(), &counters),
        distinct_tokens: distinct as u64 * u64::from(PIECE_TOKENS),
    }
}

/// Replays requests with arrival times relative to now, and waits until all have ended or
/// [`FINISH_TIMEOUT`] has passed.
async fn replay_requests<C: EngineSelector>(run: &Rc<RunState<C>>, requests: Vec<PreparedRequest>) {
    let start_us = run.now().as_micros();
    let mut tasks = Vec::new();
    for mut request in requests {
        request.set_start(ClockTime::from_micros(start_us));
        let at = run.real_instant(start_us as f64 / 1_000.0 + request.trace.arrival_ms as f64);
        tokio::time::sleep_until(at.into()).await;
        tasks.push(actix_rt::spawn(request::serve_request(run.clone(), Rc::new(request))));
    }
    let all_requests = futures::future::join_all(tasks);
    if tokio::time::timeout(FINISH_TIMEOUT, all_requests).await.is_err() {
        log::warn!("requests were still in progress when the replay timed out");
    }
}

fn counter_difference(after: &EngineCounters, before: &EngineCounters) -> EngineCounters {
    EngineCounters {
        requests: after.requests - before.requests,
        completed: after.completed - before.completed,
        cancelled: after.cancelled - before.cancelled,
        prompt_tokens: after.prompt_tokens - before.prompt_tokens,
        hit_tokens: after.hit_tokens - before.hit_tokens,
        prefill_tokens: after.prefill_tokens - before.prefill_tokens,
        decode_tokens: after.decode_tokens - before.decode_tokens,
        events_lost: after.events_lost - before.events_lost,
        ..EngineCounters::default()
    }
}

/// Dispatches queued requests at a fixed interval. The end of a request is not the only cause of
/// new capacity: the estimated load of an engine also falls as its load reports age.
async fn poll_queue<C: EngineSelector>(run: Rc<RunState<C>>) {
    let interval = Duration::from_secs_f64(QUEUE_POLL_INTERVAL_MS / run.time_scale() / 1_000.0);
    loop {
        tokio::time::sleep(interval).await;
        request::dispatch_queued(&run);
    }
}

fn prepare_requests(
    warm_up: &[TraceRequest],
    trace: &[TraceRequest],
) -> (Vec<PreparedRequest>, Vec<PreparedRequest>) {
    let mut workspaces: KeyArena<WorkspaceKey, ()> = KeyArena::new();
    let mut names: HashMap<String, WorkspaceKey> = HashMap::new();
    let mut keys: KeyArena<RequestKey, ()> = KeyArena::new();
    let mut prepare = |requests: &[TraceRequest]| -> Vec<PreparedRequest> {
        let completions = requests.iter().filter(|request| request.class != TraceClass::Booking);
        completions
            .map(|request| {
                let workspace = *names
                    .entry(request.workspace.clone())
                    .or_insert_with(|| workspaces.insert(()));
                PreparedRequest::new(request.clone(), keys.insert(()), workspace)
            })
            .collect()
    };
    (prepare(warm_up), prepare(trace))
}
