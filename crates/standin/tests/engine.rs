//! Tests of the simulated engine through its HTTP interface.

use std::time::Duration;

use awc::Client;
use carobvane_standin::engine::{self, EngineHandle, EngineSettings, FaultUpdate};
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Limit on each wait; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

async fn fast_engine() -> EngineHandle {
    let settings = EngineSettings { time_scale: 50.0, ..EngineSettings::default() };
    engine::start(settings).await.unwrap()
}

fn body(tokens: u32) -> Value {
    json!({
        "model": "carob",
        "prompt": "the same prompt",
        "max_tokens": tokens,
        "stream": true,
        "cache_salt": "acme",
        "piece_hashes": ["1", "2"],
    })
}

/// Returns the data of all events and whether the body ended with its final chunk. Reads the socket
/// directly, because `awc` reports no error if a chunked body ends between two chunks.
async fn stream(engine: &EngineHandle, body: &Value) -> (Vec<String>, bool) {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: engine\r\nx-attempt-id: a1\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut socket = TcpStream::connect(engine.addr()).await.unwrap();
    socket.write_all((head + &body).as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, socket.read_to_end(&mut bytes)).await.unwrap();
    let clean = read.is_ok() && bytes.ends_with(b"\r\n0\r\n\r\n");
    let text = String::from_utf8(bytes).unwrap();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    (data.map(str::to_string).collect(), clean)
}

fn text_of(events: &[String]) -> String {
    let values = events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok());
    values.filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_string)).collect()
}

/// Guards against completions that depend on the engine: a stream resumed on another engine would
/// then continue with different text.
#[actix_web::test]
async fn resume_on_another_engine_continues_identically() {
    let (first, second) = (fast_engine().await, fast_engine().await);
    let (whole, clean) = stream(&first, &body(20)).await;
    assert!(clean);
    assert_eq!(whole.last().unwrap(), "[DONE]");
    let usage: Value = serde_json::from_str(&whole[whole.len() - 2]).unwrap();
    assert_eq!(usage["usage"]["completion_tokens"], 20);
    let mut resumed = body(20);
    resumed["resume_offset"] = json!(7);
    let (rest, _) = stream(&second, &resumed).await;
    let opening: Value = serde_json::from_str(&rest[0]).unwrap();
    assert_eq!(opening["position"]["offset"], 7);
    assert_eq!(text_of(&whole[..7]) + &text_of(&rest), text_of(&whole));
}

/// Guards against cache hits across salts, and against a cache that does not keep computed pieces.
#[actix_web::test]
async fn hits_are_reported_within_one_salt() {
    let engine = fast_engine().await;
    let mut hits = Vec::new();
    for salt in ["acme", "acme", "other"] {
        let mut body = body(1);
        body["cache_salt"] = json!(salt);
        let (events, _) = stream(&engine, &body).await;
        let first: Value = serde_json::from_str(&events[0]).unwrap();
        hits.push(first["position"]["hit_pieces"].as_u64().unwrap());
    }
    assert_eq!(hits, [0, 2, 0]);
}

/// Guards against injected faults whose streams look complete to the client.
#[actix_web::test]
async fn faults_show_in_the_stream() {
    struct Case {
        name: &'static str,
        update: FaultUpdate,
        clean: bool,
        done: bool,
    }
    let short = FaultUpdate { short_stream: Some(3), ..FaultUpdate::default() };
    let garbage = FaultUpdate { garbage: Some(true), ..FaultUpdate::default() };
    let poison = FaultUpdate { poison: Some("same".to_string()), ..FaultUpdate::default() };
    let cases = [
        Case { name: "short", update: short, clean: true, done: false },
        Case { name: "garbage", update: garbage, clean: true, done: true },
        Case { name: "poison", update: poison, clean: false, done: false },
    ];
    for case in cases {
        let engine = fast_engine().await;
        engine.update_faults(&case.update);
        let (events, clean) = stream(&engine, &body(20)).await;
        assert_eq!(clean, case.clean, "{}", case.name);
        let done = events.last().is_some_and(|event| event == "[DONE]");
        assert_eq!(done, case.done, "{}", case.name);
        if case.name == "garbage" {
            assert!(events.iter().any(|event| serde_json::from_str::<Value>(event).is_err()));
        }
    }
}

/// Guards against a crash after which the engine still has its cache or its incarnation.
#[actix_web::test]
async fn crash_empties_the_cache_and_increments_the_incarnation() {
    let engine = fast_engine().await;
    stream(&engine, &body(1)).await;
    assert_eq!(engine.cached_prefix_pieces("acme", &[1, 2]), 2);
    let before = engine.incarnation();
    engine.update_faults(&FaultUpdate { crash: Some(true), ..FaultUpdate::default() });
    let url = format!("http://{}/state", engine.addr());
    let state = tokio::time::timeout(TEST_TIMEOUT, async {
        loop {
            let answer = Client::default().get(&url).send().await;
            if let Ok(mut answer) = answer {
                let header = answer.headers().get("x-incarnation").unwrap().clone();
                let state: Value = answer.json().await.unwrap();
                if state["incarnation"].as_u64() != Some(before) {
                    return (header, state);
                }
            }
            tokio::task::yield_now().await;
        }
    });
    let (header, state) = state.await.unwrap();
    assert_eq!(state["incarnation"], before + 1);
    assert_eq!(header.to_str().unwrap(), (before + 1).to_string());
    assert_eq!(engine.cached_prefix_pieces("acme", &[1, 2]), 0);
    let (events, _) = stream(&engine, &body(2)).await;
    assert_eq!(events.last().unwrap(), "[DONE]");
}

/// Guards against an engine that serves a request with a weights version that is not loaded, and
/// against orders with a stale fencing number that take effect.
#[actix_web::test]
async fn weights_and_orders_are_checked() {
    let engine = fast_engine().await;
    let post = |path: &str| Client::default().post(format!("http://{}{path}", engine.addr()));
    let request = post("/v1/completions").insert_header(("x-weights-version", "9"));
    assert_eq!(request.send_json(&body(1)).await.unwrap().status(), 409);
    let order = json!({"type": "hold_model", "model": "carob", "version": 9});
    for (number, status) in [("5", 200), ("4", 412), ("5", 200)] {
        let request = post("/orders").insert_header(("x-fencing-number", number));
        assert_eq!(request.send_json(&order).await.unwrap().status(), status, "{number}");
    }
    let loaded = async {
        loop {
            let request = post("/v1/completions").insert_header(("x-weights-version", "9"));
            if request.send_json(&body(1)).await.unwrap().status() == 200 {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, loaded).await.unwrap();
}

/// Guards against gaps in the sequence numbers of cache events without a lost event, and against
/// lost events without a gap.
#[actix_web::test]
async fn cache_events_are_numbered() {
    let engine = fast_engine().await;
    let url = format!("http://{}/cache/events", engine.addr());
    let mut events = Client::default().get(url).timeout(TEST_TIMEOUT).send().await.unwrap();
    for pieces in [json!(["1"]), json!(["2"])] {
        let mut body = body(1);
        body["piece_hashes"] = pieces;
        stream(&engine, &body).await;
        let loss = FaultUpdate { event_loss: Some(1.0), ..FaultUpdate::default() };
        engine.update_faults(&loss);
    }
    engine.update_faults(&FaultUpdate { event_loss: Some(0.0), ..FaultUpdate::default() });
    let mut third = body(1);
    third["piece_hashes"] = json!(["3"]);
    stream(&engine, &third).await;
    let mut text = String::new();
    while !text.contains("\"3\"") {
        text.push_str(std::str::from_utf8(&events.next().await.unwrap().unwrap()).unwrap());
    }
    let data = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let sequences: Vec<u64> = data
        .map(|event| serde_json::from_str::<Value>(event).unwrap()["sequence"].as_u64().unwrap())
        .collect();
    assert_eq!(sequences, [1, 3]);
}
