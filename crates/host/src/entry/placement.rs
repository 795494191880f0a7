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
    error::{CallerError, ErrorCode},
    relay::RelayRequest,
    routes::{RouteQuery, RoutedAttempt, WaitEnd},
    servers::SuspectSlot,
    shared::EntryShared,
    suspects::ServerRun,
};
use crate::clock;

/// When to come back if no engine of the model can be used.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);
/// Longest wait of a suspect for a server without requests. After that it shares a server with
/// requests that are no suspects, because under load no server would ever be free.
const ALONE_WAIT: Duration = Duration::from_millis(300);
/// Longest wait of a suspect for a server without another suspect, and for a run of the same
/// request: when that completes, the suspicion is over.
const SUSPECT_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a suspect looks for a server.
const SUSPECT_POLL: Duration = Duration::from_millis(10);
/// When to come back with a suspect that runs already.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Longest wait for a server's life before a request is sent to it.
const LIFE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for a server's life after a stream broke. A process that has died refuses the
/// connection at once; a server that is only busy must not count as dead.
const DEATH_TIMEOUT: Duration = Duration::from_secs(1);

/// A server that counts this attempt as its own.
pub struct Placement {
    /// Where the attempt runs.
    pub routed: RoutedAttempt,
    /// The run in the count of crashes.
    pub run: ServerRun,
    /// Set for a suspect.
    pub slot: Option<SuspectSlot>,
}

/// Chooses a server and counts the attempt there.
///
/// # Errors
///
/// No server can be used in time, or the request is a suspect that may not run; nothing was sent.
pub async fn place(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    excluded: &[ServerKey],
) -> Result<Placement, CallerError> {
    let begun = Instant::now();
    let mut excluded = excluded.to_vec();
    loop {
        match shared.suspects.admit(request.fingerprint) {
            SuspectAdmission::Reject => {
                let message = "backend servers have crashed while they ran this request";
                return Err(CallerError::not_run(ErrorCode::CrashesServers, message));
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
                    match begin(shared, client, request, routed, admission).await {
                        Ok(placement) => return Ok(placement),
                        Err(NotBegun::ServerDown) => {
                            excluded.push(server);
                            continue;
                        }
                        Err(NotBegun::AdmissionChanged) => {}
                    }
                }
            }
        }
        if begun.elapsed() >= SUSPECT_WAIT {
            let message = "the same request runs alone already";
            return Err(
                CallerError::not_run(ErrorCode::Overloaded, message).with_retry_after(BUSY_RETRY)
            );
        }
        tokio::time::sleep(SUSPECT_POLL).await;
    }
}

/// Chooses a server for a suspect: one without requests, or after [`ALONE_WAIT`] any one without
/// another suspect. `None` if it has to wait.
fn route_suspect(
    shared: &EntryShared,
    request: &RelayRequest,
    excluded: &[ServerKey],
    waited: Duration,
) -> Option<RoutedAttempt> {
    let mut excluded = excluded.to_vec();
    excluded.extend(shared.pool().suspect_servers());
    let query = RouteQuery { alone: waited < ALONE_WAIT, ..request.query.clone() };
    shared.routes().route(clock::now(), &query, &excluded).ok()
}

/// Why an attempt does not begin on the chosen server.
enum NotBegun {
    /// The server does not run.
    ServerDown,
    /// Another task has started the same suspect since the question.
    AdmissionChanged,
}

async fn begin(
    shared: &Arc<EntryShared>,
    client: &awc::Client,
    request: &RelayRequest,
    routed: RoutedAttempt,
    admission: SuspectAdmission,
) -> Result<Placement, NotBegun> {
    let is_suspect = admission == SuspectAdmission::RunAlone;
    let slot = is_suspect.then(|| SuspectSlot::take(shared, routed.server));
    if !is_up(shared, client, request, &routed.name).await {
        let mut routes = shared.routes();
        routes.router.set_server_unreachable(routed.server, true);
        routes.failed(clock::now(), &routed, FailureKind::Refused);
        return Err(NotBegun::ServerDown);
    }
    match shared.suspects.begin(request.fingerprint, &routed.name, admission) {
        Some(run) => Ok(Placement { routed, run, slot }),
        None => {
            shared.routes().failed(clock::now(), &routed, FailureKind::Cancelled);
            Err(NotBegun::AdmissionChanged)
        }
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

/// Asks a server whose present life is not known for it. A server that died is left alone until
/// it answers: a request that it loses would count as the cause of a further death.
async fn is_up(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
) -> bool {
    if !shared.suspects.must_ask(server) {
        return true;
    }
    let asked = clock::now();
    match ask_life(client, request, server, LIFE_TIMEOUT).await {
        LifeAnswer::Life(incarnation) => {
            shared.suspects.learn(server, incarnation, asked);
            true
        }
        LifeAnswer::Down => false,
        LifeAnswer::Slow => true,
    }
}

/// What a server says of its life.
enum LifeAnswer {
    Life(u64),
    /// It cannot be reached.
    Down,
    /// It does not answer in time.
    Slow,
}

/// Asks a server for its present life.
async fn ask_life(
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
    timeout: Duration,
) -> LifeAnswer {
    let Some(target) = request.lists.server(server) else { return LifeAnswer::Down };
    let probe = async {
        let url = format!("http://{}/state", target.address);
        let mut response = client.get(url).send().await.ok()?;
        response.json::<EngineState>().await.ok()
    };
    match tokio::time::timeout(timeout, probe).await {
        Ok(Some(state)) => LifeAnswer::Life(state.incarnation),
        Ok(None) => LifeAnswer::Down,
        Err(_) => LifeAnswer::Slow,
    }
}

/// Whether a server still is in the life in which it took a run. Tells a connection that broke or
/// a stream that ended early from a server's death.
pub async fn is_alive(
    client: &awc::Client,
    request: &RelayRequest,
    server: &str,
    run: &ServerRun,
) -> bool {
    match ask_life(client, request, server, DEATH_TIMEOUT).await {
        LifeAnswer::Life(incarnation) => run.is_in_life(incarnation),
        LifeAnswer::Down | LifeAnswer::Slow => false,
    }
}
