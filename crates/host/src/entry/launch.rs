//! Starts an attempt on its engine, and hedges a late first chunk.

use std::{future::Future, sync::Arc};

use carobvane_core::{
    ids::IncarnationId,
    routing::{FailureKind, RequestClass, hedge_delay},
    streams::{AttemptStart, FailureAction},
    suspects::{EndReason, SuspectAdmission},
};
use carobvane_proto::{admin::AttemptReport, engine::EngineExtension, peer::PeerMessage};
use futures::{
    Stream,
    future::{Either, select},
};
use serde_json::Value;

use super::{
    attempt::{AttemptError, AttemptEvent, AttemptRequest, EngineStream, open_attempt},
    placement::Placement,
    relay::{RelayRequest, RelayState},
    routes::RoutedAttempt,
    shared::EntryShared,
};
use crate::clock;

/// An attempt that counts as sent.
pub struct LaunchedAttempt {
    /// Its name and where it begins.
    pub start: AttemptStart,
    /// Where it runs.
    pub place: Placement,
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

/// Sends a routed attempt and waits for its first event. A short request whose first event is late
/// is sent once more; the first event wins and the other connection is closed.
///
/// # Errors
///
/// All attempts that were sent have failed and are recorded in `state`; what comes next.
pub async fn start_attempt(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    launched: LaunchedAttempt,
    state: &mut RelayState,
) -> Result<
    StartedAttempt<impl Stream<Item = Result<AttemptEvent, AttemptError>> + Unpin + use<>>,
    FailureAction,
> {
    let delay = hedge_delay(&launched.place.routed.decision.cost);
    let primary = Box::pin(open_first(client.clone(), attempt_request(request, &launched)));
    let timer = Box::pin(tokio::time::sleep(delay));
    let primary = match select(primary, timer).await {
        Either::Left((Ok(opened), _)) => return Ok(accept(shared, request, launched, opened)),
        Either::Left((Err(error), _)) => {
            return Err(state.fail(shared, client, request, launched, error).await);
        }
        Either::Right(((), pending)) => pending,
    };
    let Some(hedge) = launch_hedge(shared, request, &launched, state) else {
        return match primary.await {
            Ok(opened) => Ok(accept(shared, request, launched, opened)),
            Err(error) => Err(state.fail(shared, client, request, launched, error).await),
        };
    };
    let secondary = Box::pin(open_first(client.clone(), attempt_request(request, &hedge)));
    let race = HedgeRace { shared, client, request, state };
    match select(primary, secondary).await {
        Either::Left((result, other)) => race.settle(launched, result, hedge, other).await,
        Either::Right((result, other)) => race.settle(hedge, result, launched, other).await,
    }
}

/// Two attempts of one request, of which one has an event or has failed.
struct HedgeRace<'a> {
    shared: &'a EntryShared,
    client: &'a awc::Client,
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
    ) -> Result<StartedAttempt<S>, FailureAction> {
        let HedgeRace { shared, client, request, state } = self;
        match result {
            Ok(opened) => {
                drop(pending);
                let (winner, loser) = (&first.place.routed.name, &second.place.routed.name);
                log::info!(request = request.id, server = winner, loser; "hedge decided");
                state.cancel(shared, second);
                Ok(accept(shared, request, first, opened))
            }
            Err(error) => {
                state.fail(shared, client, request, first, error).await;
                match pending.await {
                    Ok(opened) => Ok(accept(shared, request, second, opened)),
                    Err(error) => Err(state.fail(shared, client, request, second, error).await),
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
    let is_suspect = launched.place.slot.is_some();
    let is_short = request.query.work.class == RequestClass::Short;
    if is_suspect || !is_short || !state.stream.can_hedge() {
        return None;
    }
    let routed = {
        let now = clock::now();
        let mut routes = shared.routes();
        if !routes.budget.try_take_hedge(now) {
            return None;
        }
        routes.route(now, &request.query, &[launched.place.routed.server]).ok()?
    };
    // A hedge does not wait for an engine to say its life.
    let may_begin = !shared.suspects.must_ask(&routed.name);
    let begin = || shared.suspects.begin(request.fingerprint, &routed.name, SuspectAdmission::Run);
    let Some(run) = may_begin.then(begin).flatten() else {
        shared.routes().failed(clock::now(), &routed, FailureKind::Cancelled);
        return None;
    };
    let Some(start) = state.stream.open_attempt() else {
        shared.routes().failed(clock::now(), &routed, FailureKind::Cancelled);
        shared.suspects.end(run, EndReason::Incomplete);
        return None;
    };
    log_decision(shared, request, &routed, "hedge", &start);
    metrics::counter!("carobvane_hedges_total").increment(1);
    Some(LaunchedAttempt { start, place: Placement { routed, run, slot: None } })
}

/// Learns from the first event of an attempt.
fn accept<S>(
    shared: &EntryShared,
    request: &RelayRequest,
    mut launched: LaunchedAttempt,
    (stream, first): OpenedStream<S>,
) -> StartedAttempt<S> {
    let now = clock::now();
    let routed = &launched.place.routed;
    let mut routes = shared.routes();
    if let Some(incarnation) = stream.incarnation.map(IncarnationId) {
        routes.router.observe_incarnation(routed.server, incarnation);
        let chain = &request.query.chain;
        routes.router.record_computed_prefix(now, routed.server, incarnation, chain);
    }
    let hit_pieces = match &first {
        AttemptEvent::Chunk(chunk) => chunk.position.as_ref().and_then(|at| at.hit_pieces),
        AttemptEvent::Done => None,
    };
    routes.router.record_first_token(now, routed.dispatch, hit_pieces);
    drop(routes);
    if let Some(incarnation) = stream.incarnation {
        shared.suspects.answered(&mut launched.place.run, incarnation);
    }
    StartedAttempt { stream, first, launched }
}

/// Writes the one log line of a decision, and remembers it for operators.
pub fn log_decision(
    shared: &EntryShared,
    request: &RelayRequest,
    routed: &RoutedAttempt,
    kind: &str,
    start: &AttemptStart,
) {
    let decision = &routed.decision;
    let attempt = AttemptReport {
        attempt: start.id.to_string(),
        reason: kind.to_string(),
        server: routed.name.clone(),
        pieces: request.query.chain.len() as u32,
        expected_hits: decision.hit_pieces.into(),
        candidates: shared.routes().candidates(decision),
        end: None,
    };
    shared.decisions().attempt(&request.id, attempt);
    tell_peers(shared, request, routed);
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let offset = start.resume.offset;
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

/// Tells the other entries of an attempt, so that they neither queue behind it unaware nor compute
/// its prefix elsewhere.
fn tell_peers(shared: &EntryShared, request: &RelayRequest, routed: &RoutedAttempt) {
    let notice = shared.routes().router.placement_notice(routed.dispatch, &request.query.chain);
    if let Some(notice) = notice {
        shared.sender.broadcast(PeerMessage::Placed(notice));
    }
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
    let Some(target) = request.lists.server(&launched.place.routed.name) else {
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
