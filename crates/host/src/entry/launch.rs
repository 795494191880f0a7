//! Starts an attempt: waits for a slot, chooses an engine, and hedges a late first chunk.

use std::{
    sync::MutexGuard,
    time::{Duration, Instant},
};

use carobvane_core::{
    ids::{IncarnationId, ServerKey},
    routing::{FailureKind, RequestClass, RouteRefusal, hedge_delay},
    streams::{AttemptFault, AttemptStart},
    suspects::RunEnd,
};
use carobvane_proto::engine::EngineExtension;
use futures::{
    Stream,
    future::{Either, select},
};
use serde_json::Value;
use tokio::sync::oneshot;

use super::{
    attempt::{AttemptError, AttemptEvent, AttemptRequest, EngineStream, open_attempt},
    error::{CallerError, ErrorCode},
    relay::{RelayRequest, RelayState},
    routes::{RouteBook, RoutedAttempt, WaitEnd},
    shared::EntryShared,
    suspects::ServerRun,
};
use crate::clock;

/// When to come back if no engine of the model can be used.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// An attempt on a chosen server.
pub(super) struct AttemptLeg {
    /// Where the attempt begins.
    pub(super) start: AttemptStart,
    /// The server's name.
    pub(super) server: String,
    /// The router's decision; absent for a suspect, which the server pool places.
    pub(super) routed: Option<RoutedAttempt>,
    /// The run in the count of crashes.
    run: ServerRun,
    suspect: bool,
}

/// How an attempt ended.
pub(super) enum LegEnd<'a> {
    /// The caller has the whole answer of this many tokens.
    Complete(u32),
    /// It was given up: the caller has gone or another attempt won.
    Cancelled,
    /// It failed.
    Failed(&'a AttemptError),
}

impl AttemptLeg {
    /// Counts an attempt as sent to a server.
    pub(super) fn begin(
        shared: &EntryShared,
        request: &RelayRequest,
        start: AttemptStart,
        server: String,
        routed: Option<RoutedAttempt>,
    ) -> AttemptLeg {
        shared.pool().begin(&server);
        let run = shared.suspects.begin(request.fingerprint, &server);
        let suspect = routed.is_none();
        AttemptLeg { start, server, routed, run, suspect }
    }

    /// Ends the attempt everywhere it is counted. After a crash, the receiver resolves when the
    /// other entries know of it.
    pub(super) fn end(
        self,
        shared: &EntryShared,
        request: &RelayRequest,
        end: &LegEnd<'_>,
    ) -> Option<oneshot::Receiver<()>> {
        let mut pool = shared.pool();
        pool.end(&self.server);
        if self.suspect {
            pool.end_suspect(&self.server);
        }
        drop(pool);
        if let Some(routed) = &self.routed {
            end_routed(shared.routes(), request, routed, end);
        }
        let run_end = match end {
            LegEnd::Complete(_) => RunEnd::Completed,
            LegEnd::Cancelled => RunEnd::Ended,
            LegEnd::Failed(error) => error.run_end(),
        };
        shared.suspects.end(self.run, run_end)
    }

    /// Sends the request and waits for the engine's first event.
    async fn open(
        &mut self,
        shared: &EntryShared,
        client: &awc::Client,
        request: &RelayRequest,
    ) -> Result<
        (
            EngineStream<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
            AttemptEvent,
        ),
        AttemptError,
    > {
        let Some(target) = request.lists.server(&self.server) else {
            return Err(AttemptError::NotSent("server left the lists".to_string()));
        };
        let attempt = AttemptRequest {
            url: format!("http://{}{}", target.address, request.path),
            attempt: self.start.id.to_string(),
            request: request.id.clone(),
            weights: self.start.resume.weights_version,
            body: attempt_body(request, &self.start),
        };
        let mut stream = open_attempt(client, &attempt).await?;
        if let Some(incarnation) = stream.incarnation {
            shared.suspects.answered(&mut self.run, incarnation);
        }
        let first = stream.next().await?;
        if let Some(routed) = &self.routed {
            first_event(shared.routes(), request, routed, stream.incarnation);
        }
        Ok((stream, first))
    }
}

fn end_routed(
    mut routes: MutexGuard<'_, RouteBook>,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    end: &LegEnd<'_>,
) {
    let now = clock::now();
    let kind = match end {
        LegEnd::Complete(tokens) => {
            routes.finished(now, routed, &request.query, *tokens);
            return;
        }
        LegEnd::Cancelled => FailureKind::Cancelled,
        LegEnd::Failed(error) => {
            if matches!(error, AttemptError::NotSent(_)) {
                routes.router.server_unreachable(routed.server, true);
            }
            match error.fault() {
                AttemptFault::NotRun => FailureKind::Refused,
                _ => FailureKind::Broken,
            }
        }
    };
    routes.failed(now, routed, kind);
}

fn first_event(
    mut routes: MutexGuard<'_, RouteBook>,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    incarnation: Option<u64>,
) {
    let now = clock::now();
    if let Some(incarnation) = incarnation.map(IncarnationId) {
        routes.router.incarnation_seen(routed.server, incarnation);
        if incarnation != routed.decision.incarnation {
            let chain = &request.query.chain;
            routes.router.prefix_computed(now, routed.server, incarnation, chain);
        }
    }
    routes.router.first_token(now, routed.dispatch);
}

/// Waits for a slot and chooses an engine.
///
/// # Errors
///
/// No engine can be used, or none has a slot in time; nothing was sent.
pub(super) async fn route_attempt(
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

/// Sends an attempt and waits for its first event. A short request whose first event is late is
/// sent once more; the first event wins and the other connection is closed.
///
/// # Errors
///
/// The last attempt that failed, with its error. Earlier failures are ended here.
pub(super) async fn start_attempt(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    mut leg: AttemptLeg,
    state: &mut RelayState,
) -> Result<
    (
        AttemptLeg,
        EngineStream<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
        AttemptEvent,
    ),
    (AttemptLeg, AttemptError),
> {
    let delay = leg.routed.as_ref().map(|routed| hedge_delay(&routed.decision.cost));
    let primary_server = leg.server.clone();
    let mut primary = Box::pin(leg.open(shared, client, request));
    let timer = Box::pin(tokio::time::sleep(delay.unwrap_or(Duration::MAX)));
    let early = match select(&mut primary, timer).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    };
    let hedge = match early {
        Some(_) => None,
        None => open_hedge(shared, request, state, &primary_server),
    };
    let Some(mut hedge) = hedge else {
        let result = match early {
            Some(result) => result,
            None => (&mut primary).await,
        };
        drop(primary);
        return match result {
            Ok((stream, first)) => Ok((leg, stream, first)),
            Err(error) => Err((leg, error)),
        };
    };
    let secondary = Box::pin(hedge.open(shared, client, request));
    let (hedge_ended, result, failed) = match select(primary, secondary).await {
        Either::Left((Ok(opened), _)) => (false, Ok(opened), None),
        Either::Right((Ok(opened), _)) => (true, Ok(opened), None),
        Either::Left((Err(error), other)) => (true, other.await, Some(error)),
        Either::Right((Err(error), other)) => (false, other.await, Some(error)),
    };
    let (last, other) = if hedge_ended { (hedge, leg) } else { (leg, hedge) };
    state.stream.fail(other.start.id, failed.as_ref().map_or(AttemptFault::Broken, |e| e.fault()));
    log::info!(request = request.id, server = last.server, loser = other.server; "hedge decided");
    let end = failed.as_ref().map_or(LegEnd::Cancelled, LegEnd::Failed);
    state.told.extend(other.end(shared, request, &end));
    match result {
        Ok((stream, first)) => Ok((last, stream, first)),
        Err(error) => Err((last, error)),
    }
}

fn open_hedge(
    shared: &EntryShared,
    request: &RelayRequest,
    state: &mut RelayState,
    primary: &str,
) -> Option<AttemptLeg> {
    let query = &request.query;
    if query.work.class != RequestClass::Short || !state.stream.may_hedge() {
        return None;
    }
    let mut excluded = state.excluded.clone();
    excluded.push(primary.to_string());
    let excluded = excluded_keys(shared, &excluded);
    let now = clock::now();
    let mut routes = shared.routes();
    if !routes.budget.try_hedge(now) {
        return None;
    }
    let routed = routes.route(now, query, &excluded).ok()?;
    log_decision(&routes.describe(&routed.decision), request, &routed, "hedge", 0);
    let Some(start) = state.stream.open() else {
        routes.failed(now, &routed, FailureKind::Cancelled);
        return None;
    };
    drop(routes);
    metrics::counter!("carobvane_hedges_total").increment(1);
    let server = routed.name.clone();
    Some(AttemptLeg::begin(shared, request, start, server, Some(routed)))
}

/// Keys of servers that must not be chosen: those of failed attempts, and those that run a suspect
/// alone.
pub(super) fn excluded_keys(shared: &EntryShared, names: &[String]) -> Vec<ServerKey> {
    let alone = shared.pool().alone_servers();
    let routes = shared.routes();
    names.iter().chain(&alone).filter_map(|name| routes.server(name)).collect()
}

/// Writes the one log line of a decision.
pub(super) fn log_decision(
    candidates: &str,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    kind: &str,
    offset: u32,
) {
    let decision = &routed.decision;
    let cost = &decision.cost;
    log::info!(
        request = request.id, workspace = request.workspace, model = request.model,
        server = routed.name, kind, offset,
        class:serde = request.query.work.class,
        reason:serde = decision.reason,
        hit_pieces = decision.hit_pieces, uncertain_pieces = decision.uncertain_pieces,
        pieces = request.query.chain.len(),
        cost_ms:serde = cost,
        candidates;
        "routed"
    );
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
