//! Serves one request of a run: admission, attempts on engines, and hedging.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use carobvane_core::{
    admission::{QueueEntry, RequestFeatures, WorkPrediction},
    clock::ClockTime,
    ids::{RequestKey, WorkspaceKey},
    prefix::{PieceHash, PrefixChain},
    routing::{FailureKind, RequestClass},
};
use carobvane_proto::engine::EngineExtension;
use carobvane_standin::util::hash_parts;
use tokio::sync::{
    mpsc::{self, UnboundedReceiver, UnboundedSender},
    oneshot,
};

use super::{
    attempt::{self, AttemptEvent, AttemptRequest},
    replay::{PIECE_TOKENS, RequestOutcome, RunState},
    selector::{EngineChoice, EngineSelector, RequestView},
};
use crate::trace::{TraceClass, TraceRequest};

/// `max_tokens` of short requests.
const SHORT_MAX_TOKENS: u32 = 128;
/// `max_tokens` of drafts.
const DRAFT_MAX_TOKENS: u32 = 2_048;
/// Maximum number of attempts for one request, including hedges and retries.
const MAX_ATTEMPTS: usize = 3;

/// A trace request with the precomputed inputs of routing and admission.
pub struct PreparedRequest {
    pub(super) trace: TraceRequest,
    key: RequestKey,
    features: RequestFeatures,
    chain: PrefixChain,
    /// Start of the warm-up or of the trace; `trace.arrival_ms` is relative to it.
    start: ClockTime,
}

/// A request that waits in the fair queue until an engine has capacity.
pub struct QueuedRequest<T> {
    request: Rc<PreparedRequest>,
    /// Receives the selected engine, or `None` if the request is refused.
    choice_sender: oneshot::Sender<Option<EngineChoice<T>>>,
}

impl PreparedRequest {
    /// Computes the prefix chain and the features of a request.
    ///
    /// Equal prompt prefixes within a workspace give equal hashes.
    pub fn new(trace: TraceRequest, key: RequestKey, workspace: WorkspaceKey) -> PreparedRequest {
        let mut parent = hash_parts(&[trace.workspace.as_bytes()]);
        let hashes = trace.pieces.iter().map(|piece| {
            parent = hash_parts(&[&parent.to_le_bytes(), piece.as_bytes()]);
            PieceHash::from_raw(parent)
        });
        let chain = PrefixChain::from_hashes(hashes);
        let max_tokens = match trace.class {
            TraceClass::Draft => DRAFT_MAX_TOKENS,
            TraceClass::Short | TraceClass::Booking => SHORT_MAX_TOKENS,
        };
        let features = RequestFeatures {
            workspace,
            prompt_tokens: chain.len() as u32 * PIECE_TOKENS,
            cached_tokens: 0,
            max_tokens: Some(max_tokens),
        };
        PreparedRequest { trace, key, features, chain, start: ClockTime::ZERO }
    }

    /// Sets the simulated time that the arrival time is relative to.
    pub fn set_start(&mut self, start: ClockTime) {
        self.start = start;
    }

    fn arrival(&self) -> ClockTime {
        self.start + Duration::from_millis(self.trace.arrival_ms)
    }

    fn deadline(&self) -> ClockTime {
        self.arrival() + Duration::from_millis(self.trace.deadline_ms)
    }
}

impl<C: EngineSelector> RunState<C> {
    fn predict(&self, request: &PreparedRequest, hit_pieces: u32) -> WorkPrediction {
        let cached_tokens = hit_pieces * PIECE_TOKENS;
        self.predictor.borrow().predict(&RequestFeatures { cached_tokens, ..request.features })
    }

    fn select_engine(
        &self,
        request: &PreparedRequest,
        excluded: &[usize],
    ) -> Option<EngineChoice<C::AttemptKey>> {
        let prediction = self.predict(request, 0);
        // Without admission control the limit on long requests must not apply.
        let class = if self.settings.admission { prediction.class } else { RequestClass::Short };
        let view = RequestView {
            salt: &request.trace.workspace,
            chain: &request.chain,
            class,
            prompt_tokens: request.features.prompt_tokens,
            decode_tokens: prediction.decode_tokens,
            excluded,
        };
        self.selector.borrow_mut().select_engine(self.now(), &view)
    }

    fn record_outcome(&self, request: &PreparedRequest, times: &AttemptTimes, refused: bool) {
        self.outcomes.borrow_mut().push(RequestOutcome {
            class: request.trace.class,
            arrival_ms: request.trace.arrival_ms,
            deadline_ms: request.trace.deadline_ms,
            first_token_ms: times.first_token_ms,
            complete_ms: times.complete_ms,
            refused,
            attempts: times.attempts,
        });
    }

    /// Simulated milliseconds since the request arrived.
    fn elapsed_ms(&self, request: &PreparedRequest) -> f64 {
        self.now().since(request.arrival()).as_secs_f64() * 1_000.0
    }
}

/// Serves a request from its arrival until it completes, fails or is refused.
pub async fn serve_request<C: EngineSelector>(run: Rc<RunState<C>>, request: Rc<PreparedRequest>) {
    run.budget.borrow_mut().count_request(run.now());
    match admit_request(&run, &request).await {
        Some(choice) => run_attempts(&run, &request, choice).await,
        None => run.record_outcome(&request, &AttemptTimes::default(), true),
    }
    dispatch_queued(&run);
}

/// Waits until an engine is selected for the request. Returns `None` if the request is refused.
async fn admit_request<C: EngineSelector>(
    run: &Rc<RunState<C>>,
    request: &Rc<PreparedRequest>,
) -> Option<EngineChoice<C::AttemptKey>> {
    let prediction = run.predict(request, 0);
    let bypass = run.queue.borrow().may_bypass(prediction.class);
    if bypass && let Some(choice) = run.select_engine(request, &[]) {
        return Some(choice);
    }
    if !run.settings.admission {
        return None;
    }
    let predicted_work = Duration::from_secs_f32(prediction.work_ms / 1_000.0);
    let entry = QueueEntry {
        request: request.key,
        workspace: request.features.workspace,
        class: prediction.class,
        work_ms: prediction.work_ms,
        weight: 1.0,
        start_by: request.deadline() - predicted_work,
    };
    run.queue.borrow_mut().push(run.now(), entry).ok()?;
    let (choice_sender, choice_receiver) = oneshot::channel();
    let queued = QueuedRequest { request: request.clone(), choice_sender };
    run.waiting.borrow_mut().insert(request.key, queued);
    choice_receiver.await.ok().flatten()
}

/// Starts queued requests while engines have capacity, and refuses those that can no longer meet
/// their deadline.
pub fn dispatch_queued<C: EngineSelector>(run: &RunState<C>) {
    let respond = |key: RequestKey, choice: Option<EngineChoice<C::AttemptKey>>| {
        let queued = run.waiting.borrow_mut().remove(&key);
        if let Some(queued) = queued {
            // Sending fails only if the request's task has been dropped.
            let _ = queued.choice_sender.send(choice);
        }
    };
    let now = run.now();
    loop {
        let expired = run.queue.borrow_mut().take_expired(now);
        let Some(expired) = expired else { break };
        respond(expired.request, None);
    }
    loop {
        let next = {
            let selector = run.selector.borrow();
            run.queue.borrow_mut().pop(|class| selector.has_capacity(class))
        };
        let Some(next) = next else { return };
        let request = run.waiting.borrow().get(&next.request).map(|it| it.request.clone());
        let Some(request) = request else { continue };
        if let Some(choice) = run.select_engine(&request, &[]) {
            respond(next.request, Some(choice));
            continue;
        }
        // `has_capacity` was too optimistic: put the request back into the queue.
        if run.queue.borrow_mut().push(now, next).is_err() {
            respond(next.request, None);
        }
        return;
    }
}

/// Number of attempts of a request, and its times in simulated milliseconds after the arrival.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptTimes {
    first_token_ms: Option<f64>,
    complete_ms: Option<f64>,
    attempts: usize,
}

/// An attempt on one engine.
struct RunningAttempt<T> {
    engine: usize,
    attempt_key: T,
    /// `None` once the attempt has ended or was cancelled.
    task: Option<JoinHandle<()>>,
}

/// The concurrent attempts for one request. The first one to return a token wins, and the others
/// are cancelled.
struct RequestAttempts<'a, C: EngineSelector> {
    run: &'a Rc<RunState<C>>,
    request: &'a PreparedRequest,
    attempts: Vec<RunningAttempt<C::AttemptKey>>,
    sender: UnboundedSender<(usize, AttemptEvent)>,
    /// Index of the attempt that returned the first token.
    winner: Option<usize>,
    /// When a hedge is started unless a token has arrived.
    hedge_at: Option<Instant>,
    times: AttemptTimes,
}

async fn run_attempts<C: EngineSelector>(
    run: &Rc<RunState<C>>,
    request: &PreparedRequest,
    choice: EngineChoice<C::AttemptKey>,
) {
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut attempts = RequestAttempts {
        run,
        request,
        attempts: Vec::new(),
        sender,
        winner: None,
        hedge_at: None,
        times: AttemptTimes::default(),
    };
    attempts.start_attempt(choice);
    if run.settings.hedging && request.trace.class == TraceClass::Short && request.trace.idempotent
    {
        let delay = choice.hedge_after.as_secs_f64() / run.time_scale();
        attempts.hedge_at = Some(Instant::now() + Duration::from_secs_f64(delay));
    }
    while !attempts.handle_event(&mut events).await {}
    run.record_outcome(request, &attempts.times, false);
}

impl<C: EngineSelector> RequestAttempts<'_, C> {
    fn start_attempt(&mut self, choice: EngineChoice<C::AttemptKey>) {
        let number = self.attempts.len();
        let prediction = self.run.predict(self.request, choice.hit_pieces);
        let priority = match self.run.settings.priorities {
            true => prediction.engine_priority(),
            false => 0,
        };
        let trace = &self.request.trace;
        let request = AttemptRequest {
            addr: self.run.addresses[choice.engine],
            attempt: format!("{:?}-{number}", self.request.key),
            output_tokens: trace.output_tokens,
            extension: EngineExtension {
                priority,
                cache_salt: trace.workspace.clone(),
                piece_hashes: self.request.chain.pieces().iter().map(|it| it.as_raw()).collect(),
                ..EngineExtension::default()
            },
        };
        let client = self.run.client.clone();
        let task =
            actix_rt::spawn(attempt::run_attempt(client, request, number, self.sender.clone()));
        let EngineChoice { engine, attempt_key, .. } = choice;
        self.attempts.push(RunningAttempt { engine, attempt_key, task: Some(task) });
        self.times.attempts += 1;
    }

    /// Starts another attempt on an engine that has not been tried, if the attempt budget allows
    /// it. Returns whether an attempt was started.
    fn start_extra_attempt(&mut self) -> bool {
        if self.attempts.len() >= MAX_ATTEMPTS {
            return false;
        }
        if !self.run.budget.borrow_mut().try_take_retry(self.run.now()) {
            return false;
        }
        let excluded: Vec<usize> = self.attempts.iter().map(|attempt| attempt.engine).collect();
        match self.run.select_engine(self.request, &excluded) {
            Some(choice) => {
                self.start_attempt(choice);
                true
            }
            None => false,
        }
    }

    /// Waits for one event or for the hedge delay, and handles it. Returns whether the request has
    /// ended.
    async fn handle_event(
        &mut self,
        events: &mut UnboundedReceiver<(usize, AttemptEvent)>,
    ) -> bool {
        let event = match self.hedge_at {
            Some(at) => tokio::time::timeout_at(at.into(), events.recv()).await,
            None => Ok(events.recv().await),
        };
        let Ok(event) = event else {
            self.hedge_at = None;
            self.start_extra_attempt();
            return false;
        };
        let Some((number, event)) = event else { return true };
        let attempt_key = self.attempts[number].attempt_key;
        let now = self.run.now();
        match event {
            AttemptEvent::FirstToken(hit_pieces) => {
                self.handle_first_token(now, number, hit_pieces)
            }
            AttemptEvent::TokenGap(seconds) => {
                let gap = Duration::from_secs_f64(seconds * self.run.time_scale());
                self.run.selector.borrow_mut().record_token_gap(now, attempt_key, gap);
            }
            AttemptEvent::Ended(complete) => return self.handle_end(now, number, complete),
        }
        false
    }

    fn handle_first_token(&mut self, now: ClockTime, number: usize, hit_pieces: Option<u32>) {
        if self.winner.is_some() {
            return;
        }
        self.winner = Some(number);
        self.hedge_at = None;
        self.times.first_token_ms = Some(self.run.elapsed_ms(self.request));
        let hashes = self.request.chain.pieces().iter().map(|piece| piece.as_raw());
        self.run.seen_pieces.borrow_mut().extend(hashes);
        let mut selector = self.run.selector.borrow_mut();
        let attempt = &self.attempts[number];
        let chain = &self.request.chain;
        selector.record_first_token(now, attempt.attempt_key, attempt.engine, hit_pieces, chain);
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            // Aborting the task drops the response and closes the connection, which makes the
            // engine cancel the request.
            if index != number
                && let Some(task) = attempt.task.take()
            {
                task.abort();
                selector.record_failure(now, attempt.attempt_key, FailureKind::Cancelled);
            }
        }
    }

    fn handle_end(&mut self, now: ClockTime, number: usize, complete: bool) -> bool {
        if self.attempts[number].task.take().is_none() {
            return false;
        }
        let attempt_key = self.attempts[number].attempt_key;
        if complete {
            self.run.selector.borrow_mut().record_completion(now, attempt_key);
            self.times.complete_ms = Some(self.run.elapsed_ms(self.request));
            let tokens = self.request.trace.output_tokens;
            self.run.predictor.borrow_mut().observe(&self.request.features, tokens);
            return true;
        }
        self.run.selector.borrow_mut().record_failure(now, attempt_key, FailureKind::Broken);
        if self.attempts.iter().any(|attempt| attempt.task.is_some()) {
            return false;
        }
        // A response that broke off after its first token is not retried, because the client has
        // already received a part of it.
        self.winner.is_some() || !self.start_extra_attempt()
    }
}
