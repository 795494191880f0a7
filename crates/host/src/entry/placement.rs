//! Placement of an attempt: waits for a slot, chooses an engine, and applies the restrictions for
//! suspects.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use carobvane_core::{
    ids::ServerKey,
    routing::{FailureKind, RouteRefusal},
    suspects::SuspectAdmission,
};
use carobvane_proto::engine::EngineState;

use super::{
    error::{ApiError, ErrorCode},
    relay::RelayRequest,
    routing::{RouteQuery, RoutedAttempt, WaitOutcome},
    servers::SuspectGuard,
    shared::EntryShared,
    suspects::ServerRun,
};
use crate::clock;

/// `Retry-After` if no engine of the model can be used.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Longest wait of a suspect for a server without requests. After that it may share a server with
/// requests that are no suspects, because under load no server would ever be idle.
const EXCLUSIVE_WAIT: Duration = Duration::from_millis(300);
/// Longest wait of a suspect for a server without another suspect, and for another run of the same
/// request. If that run completes, the request is no longer a suspect.
const SUSPECT_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a suspect that has to wait tries again.
const SUSPECT_POLL: Duration = Duration::from_millis(10);
/// `Retry-After` for a suspect that could not start within [`SUSPECT_WAIT`].
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Timeout for learning a server's incarnation before a request is sent to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for learning a server's incarnation after a stream broke. A process that has died
/// refuses the connection at once; a server that is only busy must not count as dead.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A chosen server on which an attempt has been counted.
pub struct Placement {
    /// The routing decision and its server.
    pub routed: RoutedAttempt,
    /// The run as registered for the crash counts.
    pub run: ServerRun,
    /// Keeps other suspects off the server; set if the request is a suspect.
    pub suspect_guard: Option<SuspectGuard>,
}

/// Chooses a server and registers the attempt there. Waits for a slot if necessary.
///
/// # Errors
///
/// Fails if no server can be used in time, or if the request is a suspect that may not run. Nothing
/// was sent in either case.
pub async fn place_attempt(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    excluded: &[ServerKey],
) -> Result<Placement, ApiError> {
    let started = Instant::now();
    let mut excluded = excluded.to_vec();
    loop {
        match shared.suspects.admit(&request.suspects) {
            SuspectAdmission::Reject => {
                let message = "backend servers have crashed while they ran this request";
                return Err(ApiError::not_run(ErrorCode::CrashesServers, message));
            }
            SuspectAdmission::Busy => {}
            admission => {
                let routed = match admission {
                    SuspectAdmission::RunAlone => {
                        route_suspect(shared, request, &excluded, started.elapsed())
                    }
                    _ => Some(route_or_wait(shared, request, &excluded).await?),
                };
                if let Some(routed) = routed {
                    let server = routed.server;
                    match start_run(shared, client, request, routed, admission).await {
                        Ok(placement) => return Ok(placement),
                        Err(StartRefusal::ServerUnreachable) => {
                            excluded.push(server);
                            continue;
                        }
                        Err(StartRefusal::AdmissionChanged) => {}
                    }
                }
            }
        }
        if started.elapsed() >= SUSPECT_WAIT {
            let message = "the request may crash servers and could not be isolated in time";
            return Err(
                ApiError::not_run(ErrorCode::Overloaded, message).with_retry_after(BUSY_RETRY)
            );
        }
        tokio::time::sleep(SUSPECT_POLL).await;
    }
}

/// Chooses a server for a suspect: an idle one, or after [`EXCLUSIVE_WAIT`] any one without another
/// suspect. Returns `None` if the request has to wait.
fn route_suspect(
    shared: &EntryShared,
    request: &RelayRequest,
    excluded: &[ServerKey],
    waited: Duration,
) -> Option<RoutedAttempt> {
    let mut excluded = excluded.to_vec();
    excluded.extend(shared.pool().servers_running_suspects());
    let query = RouteQuery { exclusive: waited < EXCLUSIVE_WAIT, ..request.query.clone() };
    shared.routing().route(clock::now(), &query, &excluded).ok()
}

/// Why a run does not start on the chosen server.
enum StartRefusal {
    /// The server cannot be reached.
    ServerUnreachable,
    /// Another task has started the same request since the restrictions were checked.
    AdmissionChanged,
}

/// Checks that the chosen server can be reached, and registers the run there.
async fn start_run(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    routed: RoutedAttempt,
    admission: SuspectAdmission,
) -> Result<Placement, StartRefusal> {
    let is_suspect = admission == SuspectAdmission::RunAlone;
    let suspect_guard = is_suspect.then(|| SuspectGuard::acquire(shared, routed.server));
    if !is_reachable(shared, client, request, &routed.name).await {
        let mut routing = shared.routing();
        routing.router.set_server_unreachable(routed.server, true);
        routing.fail_attempt(clock::now(), &routed, FailureKind::Refused);
        return Err(StartRefusal::ServerUnreachable);
    }
    match shared.suspects.begin_run(&request.suspects, &routed.name, admission) {
        Some(run) => Ok(Placement { routed, run, suspect_guard }),
        None => {
            shared.routing().fail_attempt(clock::now(), &routed, FailureKind::Cancelled);
            Err(StartRefusal::AdmissionChanged)
        }
    }
}

/// Chooses a server for a request that is no suspect, and queues the request while there is no
/// slot or others of its class wait.
async fn route_or_wait(
    shared: &EntryShared,
    request: &RelayRequest,
    excluded: &[ServerKey],
) -> Result<RoutedAttempt, ApiError> {
    let started = Instant::now();
    let class = request.query.work.class;
    let mut has_waited = false;
    loop {
        let receiver = {
            let mut routing = shared.routing();
            let now = clock::now();
            if has_waited || !routing.has_waiting_requests(class) {
                match routing.route(now, &request.query, excluded) {
                    Ok(routed) => return Ok(routed),
                    Err(RouteRefusal::Saturated { .. }) => {}
                    Err(refusal) => return Err(no_server_error(refusal)),
                }
            }
            routing.enqueue(now, &request.query, started.elapsed())
        };
        let receiver = receiver.map_err(|refusal| {
            metrics::counter!("carobvane_refusals_total").increment(1);
            log::info!(request = request.id, cause:? = refusal.cause; "request rejected by the queue");
            overloaded_error().with_retry_after(refusal.retry_after)
        })?;
        has_waited = true;
        if receiver.await != Ok(WaitOutcome::Start) {
            return Err(overloaded_error().with_retry_after(NO_SERVER_RETRY));
        }
    }
}

fn overloaded_error() -> ApiError {
    ApiError::not_run(ErrorCode::Overloaded, "the request could not start in time")
}

fn no_server_error(refusal: RouteRefusal) -> ApiError {
    let message = match refusal {
        RouteRefusal::NoServer => "no backend server holds the model",
        _ => "no backend server can accept the request",
    };
    ApiError::not_run(ErrorCode::NoServer, message).with_retry_after(NO_SERVER_RETRY)
}

/// Returns whether a server can be used. Asks the server for its incarnation if the current one is
/// unknown. A server that died gets no request until it answers, because a request lost there would
/// be counted as the cause of another crash.
async fn is_reachable(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
) -> bool {
    if !shared.suspects.needs_probe(server) {
        return true;
    }
    let asked_at = clock::now();
    match probe_incarnation(client, request, server, PROBE_TIMEOUT).await {
        ProbeResult::Incarnation(incarnation) => {
            shared.suspects.record_incarnation(server, incarnation, asked_at);
            true
        }
        ProbeResult::Unreachable => false,
        ProbeResult::TimedOut => true,
    }
}

/// Result of asking a server for its incarnation.
enum ProbeResult {
    Incarnation(u64),
    /// The server cannot be reached or sent an invalid response.
    Unreachable,
    /// The server did not answer in time, perhaps because it is busy.
    TimedOut,
}

/// Asks a server for its current incarnation.
async fn probe_incarnation(
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
    timeout: Duration,
) -> ProbeResult {
    let Some(target) = request.lists.server(server) else { return ProbeResult::Unreachable };
    let probe = async {
        let url = format!("http://{}/state", target.address);
        let mut response = client.get(url).send().await.ok()?;
        response.json::<EngineState>().await.ok()
    };
    match tokio::time::timeout(timeout, probe).await {
        Ok(Some(state)) => ProbeResult::Incarnation(state.incarnation),
        Ok(None) => ProbeResult::Unreachable,
        Err(_) => ProbeResult::TimedOut,
    }
}

/// Returns whether a server is still in the incarnation that took a run. Distinguishes a broken
/// connection or a truncated stream from a crash of the server.
pub async fn is_same_incarnation(
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
    run: &ServerRun,
) -> bool {
    match probe_incarnation(client, request, server, CRASH_PROBE_TIMEOUT).await {
        ProbeResult::Incarnation(incarnation) => run.matches_incarnation(incarnation),
        ProbeResult::Unreachable | ProbeResult::TimedOut => false,
    }
}
