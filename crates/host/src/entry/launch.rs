//! Starts an attempt: waits for a slot, chooses an engine, and hedges a late first chunk.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use carobvane_core::{
    ids::{IncarnationId, ServerKey},
    routing::{RequestClass, RouteRefusal, hedge_delay},
    streams::{AttemptStart, NextStep},
};
use carobvane_proto::engine::EngineExtension;
use futures::{
    Stream,
    future::{Either, select},
};
use serde_json::Value;

use super::{
    attempt::{AttemptError, AttemptEvent, AttemptRequest, EngineStream, open_attempt},
    error::{CallerError, ErrorCode},
    relay::{RelayRequest, RelayState},
    routes::{RouteQuery, RoutedAttempt, WaitEnd},
    shared::EntryShared,
    suspects::ServerRun,
};
use crate::clock;

/// When to come back if no engine of the model can be used.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Longest wait of a suspect for a server without requests. After that it shares a server, because
/// under load no server would ever be free.
const ALONE_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a suspect looks for a server.
const ALONE_POLL: Duration = Duration::from_millis(10);

/// An attempt that counts as sent.
pub struct LaunchedAttempt {
    /// Its name and where it begins.
    pub start: AttemptStart,
    /// Where it runs.
    pub routed: RoutedAttempt,
    /// The run in the count of crashes.
    pub run: ServerRun,
}

/// An attempt whose first event has arrived.
pub struct StartedAttempt<S> {
    /// The answer.
    pub stream: EngineStream<S>,
    /// Its first event.
    pub first: AttemptEvent,
    /// The attempt.
    pub launched: LaunchedAttempt,
}

/// Waits for a slot and chooses an engine. A suspect waits for an engine without requests.
///
/// # Errors
///
/// No engine can be used, or none has a slot in time; nothing was sent.
pub async fn route_attempt(
    shared: &EntryShared,
    request: &RelayRequest,
    alone: bool,
    excluded: &[ServerKey],
) -> Result<RoutedAttempt, CallerError> {
    if !alone {
        return wait_and_route(shared, request, excluded).await;
    }
    let query = RouteQuery { alone: true, ..request.query.clone() };
    let ends = Instant::now() + ALONE_WAIT;
    loop {
        let mut excluded = excluded.to_vec();
        excluded.extend(shared.pool().suspect_servers());
        if let Ok(routed) = shared.routes().route(clock::now(), &query, &excluded) {
            return Ok(routed);
        }
        if Instant::now() >= ends {
            return wait_and_route(shared, request, &excluded).await;
        }
        tokio::time::sleep(ALONE_POLL).await;
    }
}

async fn wait_and_route(
    shared: &EntryShared,
    request: &RelayRequest,
    excluded: &[ServerKey],
) -> Result<RoutedAttempt, CallerError> {
    let started = Instant::now();
    let class = request.query.work.class;
    let mut has_waited = false;
    loop {
        let receiver = {
            let mut routes = shared.routes();
            let now = clock::now();
            if has_waited || !routes.must_wait(class) {
                match routes.route(now, &request.query, excluded) {
                    Ok(routed) => return Ok(routed),
                    Err(RouteRefusal::Saturated { .. }) => {}
                    Err(refusal) => return Err(no_server(refusal)),
                }
            }
            routes.wait(now, &request.query, started.elapsed())
        };
        let receiver = receiver.map_err(|refusal| {
            metrics::counter!("carobvane_refusals_total").increment(1);
            log::info!(request = request.id, cause:? = refusal.cause; "refused before start");
            overloaded().with_retry_after(refusal.retry_after)
        })?;
        has_waited = true;
        if receiver.await != Ok(WaitEnd::Start) {
            return Err(overloaded().with_retry_after(NO_SERVER_RETRY));
        }
    }
}

fn overloaded() -> CallerError {
    CallerError::not_run(ErrorCode::Overloaded, "the request could not start in time")
}

fn no_server(refusal: RouteRefusal) -> CallerError {
    let message = match refusal {
        RouteRefusal::NoServer => "no backend server holds the model",
        _ => "no backend server can take the request",
    };
    CallerError::not_run(ErrorCode::NoServer, message).with_retry_after(NO_SERVER_RETRY)
}

/// Sends a routed attempt and waits for its first event. A short request whose first event is late
/// is sent once more; the first event wins and the other connection is closed.
///
/// # Errors
///
/// All attempts that were sent have failed and are recorded in `state`; what comes next.
pub async fn start_attempt(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    launched: LaunchedAttempt,
    alone: bool,
    state: &mut RelayState,
) -> Result<
    StartedAttempt<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    NextStep,
> {
    let delay = hedge_delay(&launched.routed.decision.cost);
    let primary = Box::pin(open_first(client.clone(), attempt_request(request, &launched)));
    let timer = Box::pin(tokio::time::sleep(delay));
    let primary = match select(primary, timer).await {
        Either::Left((Ok(opened), _)) => return Ok(accept(shared, request, launched, opened)),
        Either::Left((Err(error), _)) => return Err(state.fail(shared, request, launched, error)),
        Either::Right(((), pending)) => pending,
    };
    let hedge = (!alone).then(|| launch_hedge(shared, request, &launched, state)).flatten();
    let Some(hedge) = hedge else {
        return match primary.await {
            Ok(opened) => Ok(accept(shared, request, launched, opened)),
            Err(error) => Err(state.fail(shared, request, launched, error)),
        };
    };
    let secondary = Box::pin(open_first(client.clone(), attempt_request(request, &hedge)));
    let race = HedgeRace { shared, request, state };
    match select(primary, secondary).await {
        Either::Left((result, other)) => race.settle(launched, result, hedge, other).await,
        Either::Right((result, other)) => race.settle(hedge, result, launched, other).await,
    }
}

/// Two attempts of one request, of which one has an event or has failed.
struct HedgeRace<'a> {
    shared: &'a EntryShared,
    request: &'a RelayRequest,
    state: &'a mut RelayState,
}

impl HedgeRace<'_> {
    async fn settle<S>(
        self,
        first: LaunchedAttempt,
        result: Result<OpenedStream<S>, AttemptError>,
        second: LaunchedAttempt,
        pending: impl Future<Output = Result<OpenedStream<S>, AttemptError>>,
    ) -> Result<StartedAttempt<S>, NextStep> {
        let HedgeRace { shared, request, state } = self;
        match result {
            Ok(opened) => {
                drop(pending);
                let (winner, loser) = (&first.routed.name, &second.routed.name);
                log::info!(request = request.id, server = winner, loser; "hedge decided");
                state.cancel(shared, second);
                Ok(accept(shared, request, first, opened))
            }
            Err(error) => {
                state.fail(shared, request, first, error);
                match pending.await {
                    Ok(opened) => Ok(accept(shared, request, second, opened)),
                    Err(error) => Err(state.fail(shared, request, second, error)),
                }
            }
        }
    }
}

fn launch_hedge(
    shared: &EntryShared,
    request: &RelayRequest,
    launched: &LaunchedAttempt,
    state: &mut RelayState,
) -> Option<LaunchedAttempt> {
    if request.query.work.class != RequestClass::Short || !state.stream.may_hedge() {
        return None;
    }
    let routed = {
        let now = clock::now();
        let mut routes = shared.routes();
        if !routes.budget.try_hedge(now) {
            return None;
        }
        routes.route(now, &request.query, &[launched.routed.server]).ok()?
    };
    let start = state.stream.open()?;
    log_decision(shared, request, &routed, "hedge", start.resume.offset);
    metrics::counter!("carobvane_hedges_total").increment(1);
    let run = shared.suspects.begin(request.fingerprint, &routed.name);
    Some(LaunchedAttempt { start, routed, run })
}

/// Learns from the first event of an attempt.
fn accept<S>(
    shared: &EntryShared,
    request: &RelayRequest,
    mut launched: LaunchedAttempt,
    (stream, first): OpenedStream<S>,
) -> StartedAttempt<S> {
    let now = clock::now();
    let routed = &launched.routed;
    let mut routes = shared.routes();
    if let Some(incarnation) = stream.incarnation.map(IncarnationId) {
        routes.router.incarnation_seen(routed.server, incarnation);
        if incarnation != routed.decision.incarnation {
            let chain = &request.query.chain;
            routes.router.prefix_computed(now, routed.server, incarnation, chain);
        }
    }
    routes.router.first_token(now, routed.dispatch);
    drop(routes);
    if let Some(incarnation) = stream.incarnation {
        shared.suspects.answered(&mut launched.run, incarnation);
    }
    StartedAttempt { stream, first, launched }
}

/// Writes the one log line of a decision.
pub fn log_decision(
    shared: &EntryShared,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    kind: &str,
    offset: u32,
) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let decision = &routed.decision;
    let candidates = shared.routes().describe(decision);
    log::info!(
        request = request.id, workspace = request.workspace, model = request.model,
        server = routed.name, kind, offset,
        class:serde = request.query.work.class,
        reason:serde = decision.reason,
        hit_pieces = decision.hit_pieces, uncertain_pieces = decision.uncertain_pieces,
        pieces = request.query.chain.len(),
        cost_ms:serde = decision.cost,
        candidates;
        "routed"
    );
}

/// A stream with its first event.
type OpenedStream<S> = (EngineStream<S>, AttemptEvent);

async fn open_first(
    client: awc::Client,
    request: Result<AttemptRequest, AttemptError>,
) -> Result<
    OpenedStream<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    AttemptError,
> {
    let mut stream = open_attempt(&client, &request?).await?;
    let first = stream.next().await?;
    Ok((stream, first))
}

fn attempt_request(
    request: &RelayRequest,
    launched: &LaunchedAttempt,
) -> Result<AttemptRequest, AttemptError> {
    let Some(target) = request.lists.server(&launched.routed.name) else {
        return Err(AttemptError::NotSent("server left the lists".to_string()));
    };
    Ok(AttemptRequest {
        url: format!("http://{}{}", target.address, request.path),
        attempt: launched.start.id.to_string(),
        request: request.id.clone(),
        weights: launched.start.resume.weights_version,
        body: attempt_body(request, &launched.start),
    })
}

fn attempt_body(request: &RelayRequest, start: &AttemptStart) -> bytes::Bytes {
    let extension = EngineExtension {
        resume_offset: start.resume.offset,
        resume_text: start.resume.text.clone(),
        cache_salt: start.resume.cache_salt.clone(),
        ..request.extension.clone()
    };
    let mut body = request.body.clone();
    if let Ok(Value::Object(fields)) = serde_json::to_value(extension) {
        body.extend(fields);
    }
    serde_json::to_vec(&body).unwrap_or_default().into()
}
