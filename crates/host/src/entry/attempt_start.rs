//! Starts an attempt on its engine, and hedges it if the first chunk is late.

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
    routing::RoutedAttempt,
    shared::EntryShared,
};
use crate::clock;

/// An attempt that is registered with the router and the crash counts.
pub struct LaunchedAttempt {
    /// Id of the attempt, and the position at which it starts or resumes.
    pub start: AttemptStart,
    /// The server on which it runs.
    pub placement: Placement,
}

/// An attempt whose first event has arrived.
pub struct StartedAttempt<S> {
    /// The rest of the stream.
    pub stream: EngineStream<S>,
    /// First event, already taken from the stream.
    pub first: AttemptEvent,
    /// The attempt and its server.
    pub launched: LaunchedAttempt,
}

/// Sends an attempt and waits for its first event. If the first event of a short request is late,
/// sends a second attempt (a hedge) to another engine; the first event wins, and the other
/// connection is closed.
///
/// # Errors
///
/// Returns what to do next if all attempts that were sent have failed. The failures are recorded in
/// `state`.
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
    let delay = hedge_delay(&launched.placement.routed.decision.cost);
    let primary = Box::pin(open_first(client.clone(), build_attempt_request(request, &launched)));
    let timer = Box::pin(tokio::time::sleep(delay));
    let primary = match select(primary, timer).await {
        Either::Left((Ok(opened), _)) => {
            return Ok(record_first_event(shared, request, launched, opened));
        }
        Either::Left((Err(error), _)) => {
            return Err(state.fail_attempt(shared, client, request, launched, error).await);
        }
        Either::Right(((), pending)) => pending,
    };
    let Some(hedge) = launch_hedge(shared, request, &launched, state) else {
        return match primary.await {
            Ok(opened) => Ok(record_first_event(shared, request, launched, opened)),
            Err(error) => Err(state.fail_attempt(shared, client, request, launched, error).await),
        };
    };
    let secondary = Box::pin(open_first(client.clone(), build_attempt_request(request, &hedge)));
    let race = HedgeRace { shared, client, request, state };
    match select(primary, secondary).await {
        Either::Left((result, other)) => race.finish(launched, result, hedge, other).await,
        Either::Right((result, other)) => race.finish(hedge, result, launched, other).await,
    }
}

/// Two attempts of one request, one of which has received an event or failed.
struct HedgeRace<'a> {
    shared: &'a EntryShared,
    client: &'a awc::Client,
    request: &'a RelayRequest,
    state: &'a mut RelayState,
}

impl HedgeRace<'_> {
    async fn finish<S>(
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
                let (winner, loser) = (&first.placement.routed.name, &second.placement.routed.name);
                log::info!(request = request.id, server = winner, loser; "hedge finished");
                state.cancel_attempt(shared, second);
                Ok(record_first_event(shared, request, first, opened))
            }
            Err(error) => {
                state.fail_attempt(shared, client, request, first, error).await;
                match pending.await {
                    Ok(opened) => Ok(record_first_event(shared, request, second, opened)),
                    Err(error) => {
                        Err(state.fail_attempt(shared, client, request, second, error).await)
                    }
                }
            }
        }
    }
}

/// Routes and registers a second attempt, if the request may be hedged and the budget allows it.
fn launch_hedge(
    shared: &EntryShared,
    request: &RelayRequest,
    launched: &LaunchedAttempt,
    state: &mut RelayState,
) -> Option<LaunchedAttempt> {
    let is_suspect = launched.placement.suspect_guard.is_some();
    let is_short = request.query.work.class == RequestClass::Short;
    if is_suspect || !is_short || !state.stream.can_hedge() {
        return None;
    }
    let routed = {
        let now = clock::now();
        let mut routing = shared.routing();
        if !routing.budget.try_take_hedge(now) {
            return None;
        }
        routing.route(now, &request.query, &[launched.placement.routed.server]).ok()?
    };
    // A hedge does not wait for a probe, so it goes only to engines whose incarnation is known.
    let is_incarnation_known = !shared.suspects.needs_probe(&routed.name);
    let begin_run =
        || shared.suspects.begin_run(&request.suspects, &routed.name, SuspectAdmission::Run);
    let Some(run) = is_incarnation_known.then(begin_run).flatten() else {
        shared.routing().fail_attempt(clock::now(), &routed, FailureKind::Cancelled);
        return None;
    };
    let Some(start) = state.stream.open_attempt() else {
        shared.routing().fail_attempt(clock::now(), &routed, FailureKind::Cancelled);
        shared.suspects.end_run(run, EndReason::Incomplete);
        return None;
    };
    record_decision(shared, request, &routed, "hedge", &start);
    metrics::counter!("carobvane_hedges_total").increment(1);
    Some(LaunchedAttempt { start, placement: Placement { routed, run, suspect_guard: None } })
}

/// Passes what the first event of an attempt shows to the router and to the crash counts: the
/// engine's incarnation, the latency and the cached pieces.
fn record_first_event<S>(
    shared: &EntryShared,
    request: &RelayRequest,
    mut launched: LaunchedAttempt,
    (stream, first): OpenedStream<S>,
) -> StartedAttempt<S> {
    let now = clock::now();
    let routed = &launched.placement.routed;
    let mut routing = shared.routing();
    if let Some(incarnation) = stream.incarnation.map(IncarnationId) {
        routing.router.observe_incarnation(routed.server, incarnation);
        let chain = &request.query.chain;
        routing.router.record_computed_prefix(now, routed.server, incarnation, chain);
    }
    let hit_pieces = match &first {
        AttemptEvent::Chunk(chunk) => chunk.position.as_ref().and_then(|at| at.hit_pieces),
        AttemptEvent::Done => None,
    };
    routing.router.record_first_token(now, routed.dispatch, hit_pieces);
    drop(routing);
    if let Some(incarnation) = stream.incarnation {
        shared.suspects.record_answer(&mut launched.placement.run, incarnation);
    }
    StartedAttempt { stream, first, launched }
}

/// Logs a routing decision, stores it for operators, and announces it to the other entries.
pub fn record_decision(
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
        candidates: shared.routing().candidate_costs(decision),
        end: None,
    };
    shared.decisions().add_attempt(&request.id, attempt);
    announce_placement(shared, request, routed);
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let offset = start.resume.offset;
    let candidates = shared.routing().format_candidates(decision);
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

/// Announces an attempt to the other entries, so that they count its load and do not compute its
/// prefix on another engine.
fn announce_placement(shared: &EntryShared, request: &RelayRequest, routed: &RoutedAttempt) {
    let notice = shared.routing().router.placement_notice(routed.dispatch, &request.query.chain);
    if let Some(notice) = notice {
        shared.sender.broadcast(PeerMessage::Placed(notice));
    }
}

/// A stream and its first event.
type OpenedStream<S> = (EngineStream<S>, AttemptEvent);

/// Opens a stream and waits for its first event.
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

fn build_attempt_request(
    request: &RelayRequest,
    launched: &LaunchedAttempt,
) -> Result<AttemptRequest, AttemptError> {
    let Some(target) = request.lists.server(&launched.placement.routed.name) else {
        return Err(AttemptError::NotSent("server is no longer in the lists".to_string()));
    };
    Ok(AttemptRequest {
        url: format!("http://{}{}", target.address, request.path),
        attempt_id: launched.start.id.to_string(),
        request_id: request.id.clone(),
        weights_version: launched.start.resume.weights_version,
        body: build_attempt_body(request, &launched.start),
    })
}

fn build_attempt_body(request: &RelayRequest, start: &AttemptStart) -> bytes::Bytes {
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
