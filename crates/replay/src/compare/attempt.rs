//! One attempt to run a completion on one engine.

use std::{net::SocketAddr, time::Instant};

use awc::Client;
use carobvane_proto::{
    engine::{ChunkPosition, EngineExtension},
    headers,
};
use futures::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

use crate::stats::percentile;

/// Number of gaps between chunks that are summarized in one [`AttemptEvent::TokenGap`].
const GAPS_PER_REPORT: usize = 16;
/// Quantile of the gaps that is reported as the typical gap. The entry uses the same value.
const TYPICAL_GAP_QUANTILE: f64 = 0.25;

/// The request that an attempt sends to an engine.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Attempt id, unique within a replay, that the engine receives in the attempt header.
    pub attempt: String,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Priority, cache salt and piece hashes.
    pub extension: EngineExtension,
}

/// An event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEvent {
    /// The first token arrived, with the number of pieces that the engine found in its cache if it
    /// reported one.
    FirstToken(Option<u32>),
    /// Typical gap between chunks since the last such event, in real seconds.
    TokenGap(f64),
    /// The attempt ended. `true` if all tokens and `[DONE]` arrived.
    Ended(bool),
}

/// The part of a response chunk that an attempt reads.
#[derive(Deserialize)]
struct ChunkHeader {
    position: ChunkPosition,
}

/// Runs an attempt and sends its events together with `number`, the attempt's index within its
/// request.
pub async fn run_attempt(
    client: Client,
    request: AttemptRequest,
    number: usize,
    events: UnboundedSender<(usize, AttemptEvent)>,
) {
    let complete = stream_response(&client, &request, number, &events).await;
    // The receiver has been dropped if another attempt completed the request.
    let _ = events.send((number, AttemptEvent::Ended(complete)));
}

async fn stream_response(
    client: &Client,
    request: &AttemptRequest,
    number: usize,
    events: &UnboundedSender<(usize, AttemptEvent)>,
) -> bool {
    let url = format!("http://{}/v1/completions", request.addr);
    let response = client
        .post(url)
        .insert_header((headers::ATTEMPT_ID, request.attempt.clone()))
        .insert_header((headers::WEIGHTS_VERSION, "1"))
        .send_json(&request_body(request))
        .await;
    let Ok(mut response) = response else { return false };
    if !response.status().is_success() {
        return false;
    }
    let mut buffer: Vec<u8> = Vec::new();
    let mut received_tokens = 0;
    let mut done = false;
    let mut last_chunk: Option<Instant> = None;
    let mut gaps: Vec<f64> = Vec::with_capacity(GAPS_PER_REPORT);
    while let Some(Ok(bytes)) = response.next().await {
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let Some(data) = event.strip_prefix(b"data: ") else { continue };
            if data.starts_with(b"[DONE]") {
                // The connection can be reused only if the body is read to its end.
                done = true;
                continue;
            }
            let Ok(header) = serde_json::from_slice::<ChunkHeader>(data) else { continue };
            if header.position.tokens == 0 {
                continue;
            }
            if received_tokens == 0 {
                let _ = events.send((number, AttemptEvent::FirstToken(header.position.hit_pieces)));
            }
            received_tokens = header.position.offset + header.position.tokens;
            let now = Instant::now();
            if let Some(last) = last_chunk.replace(now) {
                gaps.push(now.duration_since(last).as_secs_f64());
            }
            if gaps.len() >= GAPS_PER_REPORT {
                let gap = percentile(&gaps, TYPICAL_GAP_QUANTILE);
                let _ = events.send((number, AttemptEvent::TokenGap(gap)));
                gaps.clear();
            }
        }
    }
    done && received_tokens >= request.output_tokens
}

fn request_body(request: &AttemptRequest) -> Value {
    let mut body = json!(request.extension);
    body["model"] = json!("carob");
    body["prompt"] = json!("replayed prompt");
    body["stream"] = json!(true);
    body["max_tokens"] = json!(request.output_tokens);
    body
}
