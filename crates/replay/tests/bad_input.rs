//! Tests that requests that cannot be served get a specific error which states that they did not
//! run, and that work is cancelled when the client disconnects.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use carobvane_replay::fleet::{Fleet, FleetSettings, MODEL, SERVICE, workspace_key};
use carobvane_standin::engine::EngineSettings;
use futures::StreamExt;
use serde_json::{Value, json};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest request body that the entries of the fleet accept, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

fn settings(time_scale: f64) -> FleetSettings {
    let engine = EngineSettings { time_scale, ..EngineSettings::default() };
    FleetSettings { entries: 1, engines: vec![engine; 2], ..FleetSettings::default() }
}

/// Guards against invalid requests that reach an engine, crash the entry, or get an error with the
/// wrong status, code or outcome.
#[actix_rt::test]
async fn bad_input_is_refused() {
    struct Case {
        name: &'static str,
        method: Method,
        path: &'static str,
        key: Option<String>,
        body: Vec<u8>,
        status: StatusCode,
        code: &'static str,
    }
    let valid_body = || json!({ "model": MODEL, "prompt": "is the float ready?", "max_tokens": 2 });
    let completion = |name, body: Vec<u8>, status, code| Case {
        name,
        method: Method::POST,
        path: "/v1/completions",
        key: Some(workspace_key("workspace-1")),
        body,
        status,
        code,
    };
    let bytes = |value: Value| value.to_string().into_bytes();
    let with = |field: &str, value: Value| {
        let mut body = valid_body();
        body[field] = value;
        body.to_string().into_bytes()
    };
    let bad_request = StatusCode::BAD_REQUEST;
    let cases = [
        completion("malformed", b"{\"model\":".to_vec(), bad_request, "invalid_body"),
        completion("not an object", b"[1, 2]".to_vec(), bad_request, "invalid_body"),
        completion("wrong type", with("max_tokens", json!("many")), bad_request, "invalid_body"),
        completion("negative", with("max_tokens", json!(-1)), bad_request, "invalid_body"),
        completion("no prompt", bytes(json!({ "model": MODEL })), bad_request, "invalid_body"),
        completion(
            "unknown model",
            with("model", json!("none")),
            StatusCode::NOT_FOUND,
            "model_not_found",
        ),
        completion(
            "too large",
            vec![b' '; MAX_BODY_BYTES + 1],
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        ),
        Case {
            key: None,
            ..completion("no key", bytes(valid_body()), StatusCode::UNAUTHORIZED, "invalid_api_key")
        },
        Case {
            key: Some("unknown".to_string()),
            ..completion(
                "wrong key",
                bytes(valid_body()),
                StatusCode::UNAUTHORIZED,
                "invalid_api_key",
            )
        },
        Case {
            path: "/v1/services/none/bookings",
            ..completion("service", Vec::new(), StatusCode::NOT_FOUND, "service_not_found")
        },
        Case {
            path: "/v1/services/bookings/bookings",
            ..completion("no idempotency key", Vec::new(), bad_request, "idempotency_key_missing")
        },
    ];
    let fleet = Fleet::start(&settings(20.0)).await.unwrap();
    let client = awc::Client::default();
    for case in cases {
        let url = format!("{}{}", fleet.entry_url(0), case.path);
        let mut request = client.request(case.method, url).timeout(Duration::from_secs(10));
        if let Some(key) = &case.key {
            request = request.bearer_auth(key);
        }
        let mut response = request.send_body(case.body).await.unwrap();
        let body: Value = response.json().await.unwrap();
        assert_eq!(response.status(), case.status, "{}: {body}", case.name);
        assert_eq!(body["error"]["code"], case.code, "{}", case.name);
        assert_eq!(body["error"]["outcome"], "not_run", "{}", case.name);
    }
    let served: u64 = fleet.engines.iter().map(|engine| engine.counters().requests).sum();
    assert_eq!(served, 0, "a refused request reached an engine");
    fleet.stop().await;
}

/// Guards against an idempotency key that is accepted for two different request bodies.
#[actix_rt::test]
async fn idempotency_key_is_bound_to_one_body() {
    let fleet = Fleet::start(&settings(20.0)).await.unwrap();
    let client = awc::Client::default();
    let url = format!("{}/v1/services/{SERVICE}/bookings", fleet.entry_url(0));
    let mut statuses = Vec::new();
    for bay in [1, 1, 2] {
        let response = client
            .post(&url)
            .bearer_auth(workspace_key("workspace-1"))
            .insert_header(("idempotency-key", "bay"))
            .timeout(Duration::from_secs(10))
            .send_json(&json!({ "bay": bay }))
            .await
            .unwrap();
        statuses.push(response.status());
    }
    assert!(statuses[0].is_success() && statuses[1].is_success(), "{statuses:?}");
    assert_eq!(statuses[2], StatusCode::UNPROCESSABLE_ENTITY);
    let runs: u64 = fleet.services[0].counters().bookings.values().sum();
    assert_eq!(runs, 1);
    fleet.stop().await;
}

/// Guards against an engine that continues to compute a response after the client has disconnected.
#[actix_rt::test]
async fn client_disconnect_cancels_the_engines_work() {
    let fleet = Fleet::start(&settings(1.0)).await.unwrap();
    let client = awc::Client::default();
    let mut response = client
        .post(format!("{}/v1/completions", fleet.entry_url(0)))
        .bearer_auth(workspace_key("workspace-1"))
        .send_json(&json!({
            "model": MODEL, "prompt": "a manifest", "max_tokens": 5_000, "stream": true,
        }))
        .await
        .unwrap();
    response.next().await.unwrap().unwrap();
    drop(response);
    drop(client);
    let cancelled = || fleet.engines.iter().map(|engine| engine.counters().cancelled).sum::<u64>();
    let running = || fleet.engines.iter().map(|engine| engine.current_load().running).sum::<u32>();
    let waiting = async {
        while cancelled() == 0 || running() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), waiting).await.unwrap();
    fleet.stop().await;
}
