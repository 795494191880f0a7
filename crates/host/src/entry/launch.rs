//! Starts an attempt: waits for a slot, chooses an engine, and hedges a late first chunk.

use std::{sync::Arc, time::Instant};

use carobvane_core::{
    ids::{IncarnationId, ServerKey},
    routing::{FailureKind, RequestClass, RouteRefusal, hedge_delay},
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
    relay::{DeliveredAnswer, RelayRequest},
    routes::{RoutedAttempt, WaitEnd},
    shared::EntryShared,
};
use crate::clock;

/// When to come back if no engine of the model can be used.
const NO_SERVER_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

/// An attempt whose first event has arrived.
pub struct StartedAttempt<S> {
    /// The answer.
    pub stream: EngineStream<S>,
    /// Its first event.
    pub first: AttemptEvent,
    /// Where it runs.
    pub routed: RoutedAttempt,
    /// Its name, as the engine repeats it in each chunk.
    pub name: String,
}

/// An attempt that failed before its first event.
pub struct FailedAttempt {
    /// Where it failed.
    pub server: ServerKey,
    /// Why.
    pub error: AttemptError,
}

/// Names attempts of one request.
pub struct AttemptNames {
    next: u32,
}

impl AttemptNames {
    /// Starts with attempt 0.
    pub fn new() -> AttemptNames {
        AttemptNames { next: 0 }
    }

    fn take(&mut self, request: &str) -> String {
        self.next += 1;
        format!("{request}-{}", self.next - 1)
    }
}

/// Waits for a slot and chooses an engine.
///
/// # Errors
///
/// No engine can be used, or none has a slot in time; nothing was sent.
pub async fn route_attempt(
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
/// All attempts that were sent have failed.
pub async fn start_attempt(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    routed: RoutedAttempt,
    names: &mut AttemptNames,
    delivered: &DeliveredAnswer,
) -> Result<
    StartedAttempt<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    Vec<FailedAttempt>,
> {
    let query = &request.query;
    let may_hedge =
        delivered.tokens == 0 && query.work.class == RequestClass::Short && !query.alone;
    let delay = hedge_delay(&routed.decision.cost);
    let primary_server = routed.server;
    let name = names.take(&request.id);
    let primary = Box::pin(launch(shared, client, request, routed.clone(), name, delivered));
    let timer = Box::pin(tokio::time::sleep(delay));
    let primary = match select(primary, timer).await {
        Either::Left((result, _)) => return result.map_err(|error| vec![error]),
        Either::Right(((), pending)) => pending,
    };
    let hedge = may_hedge.then(|| hedge_route(shared, request, primary_server)).flatten();
    let Some(hedge) = hedge else { return primary.await.map_err(|error| vec![error]) };
    let name = names.take(&request.id);
    let secondary = Box::pin(launch(shared, client, request, hedge.clone(), name, delivered));
    let (first, other, other_routed) = match select(primary, secondary).await {
        Either::Left((result, other)) => (result, other, hedge),
        Either::Right((result, other)) => (result, other, routed),
    };
    match first {
        Ok(started) => {
            drop(other);
            shared.routes().failed(clock::now(), &other_routed, FailureKind::Cancelled);
            log::info!(
                request = request.id, server = started.routed.name, loser = other_routed.name;
                "hedge decided"
            );
            Ok(started)
        }
        Err(failed) => other.await.map_err(|error| vec![failed, error]),
    }
}

fn hedge_route(
    shared: &EntryShared,
    request: &RelayRequest,
    primary: ServerKey,
) -> Option<RoutedAttempt> {
    let now = clock::now();
    let mut routes = shared.routes();
    if !routes.budget.try_hedge(now) {
        return None;
    }
    let routed = routes.route(now, &request.query, &[primary]).ok()?;
    log_decision(&routes.describe(&routed.decision), request, &routed, "hedge", 0);
    metrics::counter!("carobvane_hedges_total").increment(1);
    Some(routed)
}

/// Writes the one log line of a decision.
pub fn log_decision(
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

async fn launch(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    routed: RoutedAttempt,
    name: String,
    delivered: &DeliveredAnswer,
) -> Result<
    StartedAttempt<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    FailedAttempt,
> {
    let server = routed.server;
    match open_first(client, request, &routed, &name, delivered).await {
        Ok((stream, first)) => {
            let now = clock::now();
            let mut routes = shared.routes();
            if let Some(incarnation) = stream.incarnation.map(IncarnationId) {
                routes.router.incarnation_seen(server, incarnation);
                if incarnation != routed.decision.incarnation {
                    let chain = &request.query.chain;
                    routes.router.prefix_computed(now, server, incarnation, chain);
                }
            }
            routes.router.first_token(now, routed.dispatch);
            drop(routes);
            Ok(StartedAttempt { stream, first, routed, name })
        }
        Err(error) => {
            attempt_failed(shared, &routed, &error);
            Err(FailedAttempt { server, error })
        }
    }
}

/// Ends a failed attempt, and stops further requests to an engine that cannot be connected to.
pub fn attempt_failed(shared: &EntryShared, routed: &RoutedAttempt, error: &AttemptError) {
    let kind = match error {
        AttemptError::NotSent(_) | AttemptError::Rejected { .. } => FailureKind::Refused,
        _ => FailureKind::Broken,
    };
    let mut routes = shared.routes();
    if matches!(error, AttemptError::NotSent(_)) {
        routes.router.server_unreachable(routed.server, true);
    }
    routes.failed(clock::now(), routed, kind);
}

async fn open_first(
    client: &awc::Client,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    name: &str,
    delivered: &DeliveredAnswer,
) -> Result<
    (
        EngineStream<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
        AttemptEvent,
    ),
    AttemptError,
> {
    let Some(target) = request.lists.server(&routed.name) else {
        return Err(AttemptError::NotSent("server left the lists".to_string()));
    };
    let attempt = AttemptRequest {
        url: format!("http://{}{}", target.address, request.path),
        attempt: name.to_string(),
        request: request.id.clone(),
        weights: request.weights,
        body: attempt_body(request, delivered),
    };
    let mut stream = open_attempt(client, &attempt).await?;
    let first = stream.next().await?;
    Ok((stream, first))
}

fn attempt_body(request: &RelayRequest, delivered: &DeliveredAnswer) -> bytes::Bytes {
    let extension = EngineExtension {
        resume_offset: delivered.tokens,
        resume_text: delivered.text.clone(),
        ..request.extension.clone()
    };
    let mut body = request.body.clone();
    if let Ok(Value::Object(fields)) = serde_json::to_value(extension) {
        body.extend(fields);
    }
    serde_json::to_vec(&body).unwrap_or_default().into()
}
