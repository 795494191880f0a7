//! Where an attempt runs: waits for a slot, chooses an engine, and keeps the rules for suspects.

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

/// When to come back if no engine of the model can be used.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Longest wait of a suspect for a server without requests. After that it shares a server with
/// requests that are no suspects, because under load no server would ever be free.
const EXCLUSIVE_WAIT: Duration = Duration::from_millis(300);
/// Longest wait of a suspect for a server without another suspect, and for a run of the same
/// request: when that completes, the suspicion is over.
const SUSPECT_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a suspect looks for a server.
const SUSPECT_POLL: Duration = Duration::from_millis(10);
/// When to come back with a suspect that runs already.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Longest wait for a server's life before a request is sent to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for a server's life after a stream broke. A process that has died refuses the
/// connection at once; a server that is only busy must not count as dead.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A server that counts this attempt as its own.
pub struct Placement {
    /// Where the attempt runs.
    pub routed: RoutedAttempt,
    /// The run in the count of crashes.
    pub run: ServerRun,
    /// Set for a suspect.
    pub suspect_guard: Option<SuspectGuard>,
}

/// Chooses a server and counts the attempt there.
///
/// # Errors
///
/// No server can be used in time, or the request is a suspect that may not run; nothing was sent.
pub async fn place_attempt(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    excluded: &[ServerKey],
) -> Result<Placement, ApiError> {
    let begun = Instant::now();
    let mut excluded = excluded.to_vec();
    loop {
        match shared.suspects.admit(request.fingerprint) {
            SuspectAdmission::Reject => {
                let message = "backend servers have crashed while they ran this request";
                return Err(ApiError::not_run(ErrorCode::CrashesServers, message));
            }
            SuspectAdmission::Busy => {}
            admission => {
                let routed = match admission {
                    SuspectAdmission::RunAlone => {
                        route_suspect(shared, request, &excluded, begun.elapsed())
                    }
                    _ => Some(wait_and_route(shared, request, &excluded).await?),
                };
                if let Some(routed) = routed {
                    let server = routed.server;
                    match start_run(shared, client, request, routed, admission).await {
                        Ok(placement) => return Ok(placement),
                        Err(StartRefusal::ServerDown) => {
                            excluded.push(server);
                            continue;
                        }
                        Err(StartRefusal::AdmissionChanged) => {}
                    }
                }
            }
        }
        if begun.elapsed() >= SUSPECT_WAIT {
            let message = "the same request runs alone already";
            return Err(
                ApiError::not_run(ErrorCode::Overloaded, message).with_retry_after(BUSY_RETRY)
            );
        }
        tokio::time::sleep(SUSPECT_POLL).await;
    }
}

/// Chooses a server for a suspect: one without requests, or after [`EXCLUSIVE_WAIT`] any one without
/// another suspect. `None` if it has to wait.
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

/// Why an attempt does not begin on the chosen server.
enum StartRefusal {
    /// The server does not run.
    ServerDown,
    /// Another task has started the same suspect since the question.
    AdmissionChanged,
}

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
        return Err(StartRefusal::ServerDown);
    }
    match shared.suspects.begin_run(request.fingerprint, &routed.name, admission) {
        Some(run) => Ok(Placement { routed, run, suspect_guard }),
        None => {
            shared.routing().fail_attempt(clock::now(), &routed, FailureKind::Cancelled);
            Err(StartRefusal::AdmissionChanged)
        }
    }
}

async fn wait_and_route(
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
            log::info!(request = request.id, cause:? = refusal.cause; "refused before start");
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
        _ => "no backend server can take the request",
    };
    ApiError::not_run(ErrorCode::NoServer, message).with_retry_after(NO_SERVER_RETRY)
}

/// Asks a server whose present life is not known for it. A server that died is left alone until
/// it answers: a request that it loses would count as the cause of a further death.
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

/// What a server says of its life.
enum ProbeResult {
    Incarnation(u64),
    /// It cannot be reached.
    Unreachable,
    /// It does not answer in time.
    TimedOut,
}

/// Asks a server for its present life.
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

/// Whether a server still is in the life in which it took a run. Tells a connection that broke or
/// a stream that ended early from a server's death.
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
