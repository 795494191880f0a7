use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use carobvane_core::clock::ClockTime;
use carobvane_proto::keyvalue::{TxnRequest, encode_base64};

use super::{
    CallRateLimiter, KeyChange, KeyvalueClient, KeyvalueError, KeyvalueSettings, MAX_VALUE_BYTES,
    Transaction, prefix_end,
};

/// Starts a gateway that returns the same response to every call, and returns a client of it.
fn client_with_answer(status: u16, body: &'static str) -> KeyvalueClient {
    let server = HttpServer::new(move || {
        App::new().default_service(web::to(move || async move {
            HttpResponse::build(status.try_into().expect("valid status")).body(body)
        }))
    });
    let server = server.workers(1).bind(("127.0.0.1", 0)).expect("failed to bind");
    let port = server.addrs()[0].port();
    actix_rt::spawn(server.run());
    client_at_port(port)
}

fn client_at_port(port: u16) -> KeyvalueClient {
    let mut settings = KeyvalueSettings::new(format!("http://127.0.0.1:{port}/"));
    settings.timeout = Duration::from_secs(20);
    KeyvalueClient::new(settings)
}

/// Guards against treating a write that may have taken effect as one that did not: a status of 5xx
/// or a truncated body does not prove that the write failed.
#[actix_rt::test]
async fn errors_tell_whether_a_write_can_have_taken_effect() {
    struct Case {
        status: u16,
        body: &'static str,
        unknown: bool,
    }
    let cases = [
        Case { status: 400, body: "{\"message\":\"bad request\"}", unknown: false },
        Case { status: 429, body: "too many requests", unknown: false },
        Case { status: 503, body: "etcdserver: request timed out", unknown: true },
        Case { status: 200, body: "{\"cut", unknown: true },
    ];
    for case in cases {
        let client = client_with_answer(case.status, case.body);
        let error = client.txn(Transaction::new().put("a", b"1")).await.expect_err(case.body);
        assert_eq!(error.is_outcome_unknown(), case.unknown, "{error}");
    }
}

/// Guards against reporting an unknown outcome if the service cannot be reached at all, which would
/// make callers read back a write that was never sent.
#[actix_rt::test]
async fn failed_connection_is_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let port = listener.local_addr().expect("bound").port();
    drop(listener);
    let error = client_at_port(port).get("a").await.expect_err("nothing listens");
    assert!(matches!(error, KeyvalueError::NotSent(_)), "{error}");
}

/// Guards against sending transactions in a JSON shape that the etcd gateway does not accept.
#[test]
fn transaction_has_the_gateway_shape() {
    let request = Transaction::new()
        .require_absent("k")
        .require_revision("h", 7)
        .put("k", b"v")
        .read_on_failure("h")
        .into_request()
        .expect("small values");
    let expected = serde_json::json!({
        "compare": [
            {
                "result": "EQUAL", "target": "CREATE", "key": encode_base64(b"k"),
                "create_revision": "0",
            },
            {"result": "EQUAL", "target": "MOD", "key": encode_base64(b"h"), "mod_revision": "7"},
        ],
        "success": [{
            "request_put": {"key": encode_base64(b"k"), "value": encode_base64(b"v"), "lease": "0"},
        }],
        "failure": [{"request_range": {"key": encode_base64(b"h"), "limit": "0"}}],
    });
    assert_eq!(serde_json::to_value::<TxnRequest>(request).expect("encodes"), expected);
}

/// Guards against sending a value that is too large, upon which the service drops the connection.
#[test]
fn oversized_value_is_not_sent() {
    let transaction = Transaction::new().put("k", &vec![0; MAX_VALUE_BYTES + 1]);
    let error = transaction.into_request().expect_err("value is too large");
    assert_eq!(error, KeyvalueError::ValueTooLarge(MAX_VALUE_BYTES + 1));
}

/// Guards against losing events whose line arrives in several chunks, and against not noticing that
/// the service has closed the watch.
#[actix_rt::test]
async fn watch_yields_batches_and_then_its_end() {
    const BODY: &str = "{\"result\":{\"header\":{\"revision\":\"4\"},\"events\":[{\"kv\":{\"key\":\"YQ==\",\
        \"value\":\"MQ==\",\"mod_revision\":\"4\"}},{\"type\":\"DELETE\",\"kv\":{\"key\":\"Yg==\"}}]}}\n\
        \n{\"result\":{\"header\":{\"revision\":\"5\"}}}\n";
    let client = client_with_answer(200, BODY);
    let mut watch = client.watch_prefix("a", 0, Duration::from_secs(20)).await.expect("opens");
    let batch = watch.next().await.expect("first batch");
    assert_eq!(batch.revision, 4);
    assert!(matches!(&batch.changes[0], KeyChange::Put(stored) if stored.value == b"1"));
    assert_eq!(batch.changes[1], KeyChange::Deleted("b".into()));
    assert_eq!(watch.next().await.expect("progress notice").revision, 5);
    assert!(watch.next().await.expect_err("closed").is_outcome_unknown());
}

/// Guards against exceeding the configured rate by more than the initial burst.
#[test]
fn rate_limiter_holds_its_rate() {
    let mut limiter = CallRateLimiter::new(2, ClockTime::ZERO);
    let mut taken = Vec::new();
    for millis in (0..3_000).step_by(100) {
        if limiter.try_acquire(ClockTime::from_millis(millis)).is_ok() {
            taken.push(millis);
        }
    }
    assert_eq!(taken, [0, 100, 500, 1000, 1500, 2000, 2500]);
    assert_eq!(limiter.try_acquire(ClockTime::from_millis(2_900)), Err(Duration::from_millis(100)));
}

/// Guards against prefix reads that miss keys of the prefix or include others.
#[test]
fn prefix_end_is_the_next_prefix() {
    assert_eq!(prefix_end(b"ab"), b"ac");
    assert_eq!(prefix_end(&[1, 0xff]), [2]);
    assert_eq!(prefix_end(&[0xff]), [0]);
}
