//! Plays one trace with one policy.

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
    chooser::FleetChooser,
    feeds,
    fleet::EngineFleet,
    serve::{self, PreparedRequest, QueuedRequest},
};
use crate::trace::{TraceClass, TraceRequest};

/// Tokens of one prompt piece.
pub const PIECE_TOKENS: u32 = 2_000;
/// Prefill time in ms a token, as the engines have it.
pub const PREFILL_MS: f32 = 0.04;
/// Decode time in ms a token at a typical batch.
pub const DECODE_MS: f32 = 11.0;
/// Time between two looks at the queue, in simulated milliseconds.
const PUMP_INTERVAL_MS: f64 = 20.0;
/// Real time that the requests in progress at the end of a trace get.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// How requests are treated apart from the choice of an engine.
#[derive(Debug, Clone, Copy)]
pub struct PlaySettings {
    /// Simulated milliseconds that pass in one real millisecond.
    pub time_scale: f64,
    /// Whether requests wait in the fair queue and are refused early.
    pub admission: bool,
    /// Whether engines get priorities.
    pub priorities: bool,
    /// Whether slow first tokens are hedged.
    pub hedging: bool,
}

/// What became of a request. Times are simulated milliseconds after the arrival.
#[derive(Debug, Clone, Copy)]
pub struct RequestOutcome {
    /// The kind of work.
    pub class: TraceClass,
    /// Milliseconds from the start of the trace.
    pub arrival_ms: u64,
    /// When the answer had to be complete.
    pub deadline_ms: u64,
    /// When the first token arrived.
    pub first_token_ms: Option<f64>,
    /// When the answer was complete.
    pub complete_ms: Option<f64>,
    /// Whether the request was refused before it ran.
    pub refused: bool,
    /// Attempts on engines.
    pub attempts: usize,
}

/// The outcomes of a run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// One for each completion of the trace.
    pub outcomes: Vec<RequestOutcome>,
    /// The sum of the engines' counters.
    pub counters: EngineCounters,
    /// Tokens of the pieces that no earlier request had and whose request got a first token: what
    /// a single cache without bounds would have computed.
    pub distinct_tokens: u64,
}

/// What the tasks of a run share.
pub struct RunState<C: FleetChooser> {
    pub(super) chooser: RefCell<C>,
    pub(super) settings: PlaySettings,
    pub(super) client: Client,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) queue: RefCell<FairQueue>,
    pub(super) predictor: RefCell<WorkPredictor>,
    pub(super) budget: RefCell<AttemptBudget>,
    pub(super) waiting: RefCell<HashMap<RequestKey, QueuedRequest<C::Ticket>>>,
    pub(super) outcomes: RefCell<Vec<RequestOutcome>>,
    pub(super) seen: RefCell<HashSet<u64>>,
    origin: Instant,
}

impl<C: FleetChooser> RunState<C> {
    /// Simulated time since the start of the run.
    pub fn now(&self) -> ClockTime {
        let simulated = self.origin.elapsed().as_secs_f64() * self.settings.time_scale;
        ClockTime::from_micros((simulated * 1_000_000.0) as u64)
    }

    /// Simulated milliseconds that pass in one real millisecond.
    pub fn time_scale(&self) -> f64 {
        self.settings.time_scale
    }

    /// The real instant of a simulated time in milliseconds.
    pub fn instant(&self, simulated_ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64(simulated_ms / self.settings.time_scale / 1_000.0)
    }
}

/// Plays the completions of a warm-up and then of a trace, and gives the outcomes of the latter.
/// Bookings do not depend on routing and are left out.
pub async fn play<C: FleetChooser>(
    fleet: &EngineFleet,
    chooser: C,
    warm_up: &[TraceRequest],
    trace: &[TraceRequest],
    settings: PlaySettings,
) -> RunResult {
    let slots: u32 = fleet.engines.iter().map(|engine| engine.current_load().slots).sum();
    let costs = TokenCosts { prefill_ms: PREFILL_MS, decode_ms: DECODE_MS };
    let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout().finish();
    let run = Rc::new(RunState {
        chooser: RefCell::new(chooser),
        settings,
        client: client.clone(),
        addresses: fleet.addresses(),
        queue: RefCell::new(FairQueue::new(QueueSettings::default(), slots as f32)),
        predictor: RefCell::new(WorkPredictor::new(costs)),
        budget: RefCell::new(AttemptBudget::new()),
        waiting: RefCell::new(HashMap::new()),
        outcomes: RefCell::new(Vec::new()),
        seen: RefCell::new(HashSet::new()),
        origin: Instant::now(),
    });
    let mut helpers = vec![actix_rt::spawn(pump(run.clone()))];
    for (engine, addr) in run.addresses.iter().copied().enumerate() {
        let (events, reports) = (client.clone(), client.clone());
        helpers.push(actix_rt::spawn(feeds::cache_events(run.clone(), events, engine, addr)));
        helpers.push(actix_rt::spawn(feeds::load_reports(run.clone(), reports, engine, addr)));
    }
    let (warm_up, trace) = prepare(warm_up, trace);
    play_part(&run, warm_up).await;
    run.outcomes.borrow_mut().clear();
    let counters = fleet.counters();
    let seen = run.seen.borrow().len();
    play_part(&run, trace).await;
    helpers.iter().for_each(|helper| helper.abort());
    let distinct = run.seen.borrow().len() - seen;
    let outcomes = run.outcomes.borrow().clone();
    RunResult {
        outcomes,
        counters: difference(&fleet.counters(), &counters),
        distinct_tokens: distinct as u64 * u64::from(PIECE_TOKENS),
    }
}

/// Plays requests whose arrivals count from now, and waits for their ends.
async fn play_part<C: FleetChooser>(run: &Rc<RunState<C>>, requests: Vec<PreparedRequest>) {
    let start_us = run.now().as_micros();
    let mut tasks = Vec::new();
    for mut request in requests {
        request.start(ClockTime::from_micros(start_us));
        let at = run.instant(start_us as f64 / 1_000.0 + request.trace.arrival_ms as f64);
        tokio::time::sleep_until(at.into()).await;
        tasks.push(actix_rt::spawn(serve::serve(run.clone(), Rc::new(request))));
    }
    let finish = futures::future::join_all(tasks);
    if tokio::time::timeout(FINISH_TIMEOUT, finish).await.is_err() {
        log::warn!("requests were still in progress at the end of the run");
    }
}

fn difference(after: &EngineCounters, before: &EngineCounters) -> EngineCounters {
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

/// Looks at the queue regularly, because slots also become free by the aging of load reports.
async fn pump<C: FleetChooser>(run: Rc<RunState<C>>) {
    let interval = Duration::from_secs_f64(PUMP_INTERVAL_MS / run.time_scale() / 1_000.0);
    loop {
        tokio::time::sleep(interval).await;
        serve::pump(&run);
    }
}

fn prepare(
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
