//! Where an attempt runs, with the rules for suspects.

use std::time::Duration;

use carobvane_core::suspects::SuspectAdmission;
use carobvane_proto::engine::EngineState;
use tokio::time::Instant;

use super::{
    error::{CallerError, ErrorCode},
    relay::RelayRequest,
    shared::EntryShared,
    suspects::ServerRun,
};
use crate::clock;

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
/// Longest wait for a server to show that it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A server that counts this attempt as its own until [`Placement::leave`].
pub(super) struct Placement {
    /// The server's name.
    pub(super) server: String,
    /// The run in the count of crashes.
    pub(super) run: ServerRun,
    is_suspect: bool,
}

/// Why an attempt has no server.
pub(super) enum PlacementError {
    /// No server is left.
    NoServer,
    /// The request is a suspect that may not run.
    Refused(CallerError),
}

/// Chooses a server and counts the attempt there.
pub(super) async fn place(
    shared: &EntryShared,
    client: &awc::Client,
    request: &RelayRequest,
    excluded: &[String],
) -> Result<Placement, PlacementError> {
    let begun = Instant::now();
    let mut excluded = excluded.to_vec();
    loop {
        match shared.suspects.admit(request.fingerprint) {
            SuspectAdmission::Reject => {
                let message = "backend servers have crashed while they ran this request";
                let error = CallerError::not_run(ErrorCode::CrashesServers, message);
                return Err(PlacementError::Refused(error));
            }
            SuspectAdmission::Busy => {}
            admission => {
                let is_alone = admission == SuspectAdmission::RunAlone;
                let may_share = begun.elapsed() >= ALONE_WAIT;
                if let Some(server) = choose(shared, request, &excluded, is_alone, may_share)? {
                    let is_up = is_up(shared, client, request, &server).await;
                    // Another task may have started the same suspect since the question.
                    if is_up
                        && let Some(run) =
                            shared.suspects.begin(request.fingerprint, &server, admission)
                    {
                        return Ok(Placement { server, run, is_suspect: is_alone });
                    }
                    leave_server(shared, &server, is_alone);
                    if !is_up {
                        excluded.push(server);
                        continue;
                    }
                }
            }
        }
        if begun.elapsed() >= SUSPECT_WAIT {
            let message = "the same request runs alone already";
            let error =
                CallerError::not_run(ErrorCode::Overloaded, message).with_retry_after(BUSY_RETRY);
            return Err(PlacementError::Refused(error));
        }
        tokio::time::sleep(SUSPECT_POLL).await;
    }
}

/// Chooses a server and counts the request there; `None` if a suspect has to wait.
fn choose(
    shared: &EntryShared,
    request: &RelayRequest,
    excluded: &[String],
    is_alone: bool,
    may_share: bool,
) -> Result<Option<String>, PlacementError> {
    let names = request.lists.engines(&request.model);
    if names.iter().all(|name| excluded.contains(name)) {
        return Err(PlacementError::NoServer);
    }
    let mut pool = shared.pool();
    let server = if is_alone {
        pool.choose_for_suspect(names, excluded, may_share)
    } else {
        pool.choose(names, excluded).map(str::to_string)
    };
    if let Some(server) = &server {
        pool.begin(server);
    }
    Ok(server)
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
    match ask_life(client, request, server).await {
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
async fn ask_life(client: &awc::Client, request: &RelayRequest, server: &str) -> LifeAnswer {
    let Some(target) = request.lists.server(server) else { return LifeAnswer::Down };
    let probe = async {
        let url = format!("http://{}/state", target.address);
        let mut response = client.get(url).send().await.ok()?;
        response.json::<EngineState>().await.ok()
    };
    match tokio::time::timeout(PROBE_TIMEOUT, probe).await {
        Ok(Some(state)) => LifeAnswer::Life(state.incarnation),
        Ok(None) => LifeAnswer::Down,
        Err(_) => LifeAnswer::Slow,
    }
}

fn leave_server(shared: &EntryShared, server: &str, is_suspect: bool) {
    let mut pool = shared.pool();
    pool.end(server);
    if is_suspect {
        pool.end_suspect(server);
    }
}

impl Placement {
    /// Gives the server back. The run is ended by its owner.
    pub(super) fn leave(self, shared: &EntryShared) -> ServerRun {
        leave_server(shared, &self.server, self.is_suspect);
        self.run
    }

    /// Whether the server still is in the life in which it took the run. Tells a connection that
    /// broke or a stream that ended early from a server's death.
    pub(super) async fn is_alive(&self, client: &awc::Client, request: &RelayRequest) -> bool {
        match ask_life(client, request, &self.server).await {
            LifeAnswer::Life(incarnation) => self.run.is_in_life(incarnation),
            LifeAnswer::Down | LifeAnswer::Slow => false,
        }
    }
}
