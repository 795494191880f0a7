//! Passes the cache events and load reports of the engines to the policy, over the same endpoints
//! that an entry uses.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use awc::Client;
use carobvane_proto::engine::{CacheEvent, LoadReport};
use futures::StreamExt;

use super::{replay::RunState, selector::EngineSelector};

/// Interval at which the load of an engine is polled, in simulated milliseconds.
const LOAD_INTERVAL_MS: f64 = 250.0;

/// Passes an engine's cache events to the policy until the event stream ends.
pub async fn follow_cache_events<C: EngineSelector>(
    run: Rc<RunState<C>>,
    client: Client,
    engine: usize,
    addr: SocketAddr,
) {
    let url = format!("http://{addr}/cache/events");
    let Ok(mut response) = client.get(url).send().await else { return };
    let mut buffer: Vec<u8> = Vec::new();
    while let Some(Ok(bytes)) = response.next().await {
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let Some(data) = event.strip_prefix(b"data: ") else { continue };
            if let Ok(event) = serde_json::from_slice::<CacheEvent>(data) {
                let now = run.now();
                run.selector.borrow_mut().apply_cache_event(now, engine, &event);
            }
        }
    }
}

/// Polls an engine's load and passes the reports to the policy, until a request to the engine fails
/// or the task is aborted.
pub async fn poll_load_reports<C: EngineSelector>(
    run: Rc<RunState<C>>,
    client: Client,
    engine: usize,
    addr: SocketAddr,
) {
    let url = format!("http://{addr}/load");
    let interval = Duration::from_secs_f64(LOAD_INTERVAL_MS / run.time_scale() / 1_000.0);
    loop {
        tokio::time::sleep(interval).await;
        let Ok(mut response) = client.get(&url).send().await else { return };
        if let Ok(report) = response.json::<LoadReport>().await {
            let now = run.now();
            run.selector.borrow_mut().apply_load_report(now, engine, &report);
        }
    }
}
