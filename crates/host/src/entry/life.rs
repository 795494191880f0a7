//! Asks a server for its present life, to tell a broken stream from a server's death.

use std::time::Duration;

use carobvane_proto::engine::EngineState;

use super::{relay::RelayRequest, shared::EntryShared, suspects::ServerRun};
use crate::clock;

/// Longest wait for a server to show that it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// What a server says of its life.
enum LifeAnswer {
    Life(u64),
    /// It cannot be reached.
    Down,
    /// It does not answer in time.
    Slow,
}

/// Asks a server whose present life is not known for it. A server that died is left alone until
/// it answers: a request that it loses would count as the cause of a further death.
pub async fn is_up(
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

/// Whether a server still is in the life in which it took the run.
pub async fn is_alive(client: &awc::Client, request: &RelayRequest, run: &ServerRun) -> bool {
    match ask_life(client, request, run.server()).await {
        LifeAnswer::Life(incarnation) => run.is_in_life(incarnation),
        LifeAnswer::Down | LifeAnswer::Slow => false,
    }
}

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
