//! Tests of the time that a call may take.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

use super::{ConnectionError, HttpConnection};

/// Time limit of the calls.
const TIME_LIMIT: Duration = Duration::from_millis(800);
/// Pause of the peer before each part of its response.
const PART_PAUSE: Duration = Duration::from_millis(150);
const PART: &[u8] = b"part";
/// Number of parts of a whole response, which takes longer than the time limit.
const PARTS: usize = 8;

/// Starts a peer that answers one request with `sent` of the parts and then says nothing more.
async fn start_slow_peer(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = stream.read(&mut [0; 1_024]).await;
        assert!(read.is_ok_and(|count| count > 0), "the peer gets a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PARTS * PART.len());
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        for _ in 0..sent {
            sleep(PART_PAUSE).await;
            stream.write_all(PART).await.expect("a part is sent");
        }
        let _closed = stream.read(&mut [0; 1]).await;
    });
    addr
}

/// Guards against a large response over a slow link that is given up and requested again for ever, and
/// against a peer that stops in the middle of a response and is waited for.
#[actix_rt::test]
async fn call_ends_when_the_response_stops() {
    struct Case {
        name: &'static str,
        sent: usize,
        is_read: bool,
    }
    let cases = [
        Case { name: "slow but steady", sent: PARTS, is_read: true },
        Case { name: "stops half-way", sent: PARTS / 2, is_read: false },
        Case { name: "stops after the head", sent: 0, is_read: false },
    ];
    for case in cases {
        let addr = start_slow_peer(case.sent).await;
        let mut connection = HttpConnection::open(addr, TIME_LIMIT).await.expect("a connection");
        let request = Request::new(Full::new(Bytes::new()));
        match connection.call(request, TIME_LIMIT, 1_024).await {
            Ok(response) => {
                assert!(case.is_read, "{}", case.name);
                assert_eq!(response.body().len(), PARTS * PART.len(), "{}", case.name);
            }
            Err(cause) => {
                assert!(!case.is_read, "{}: {cause}", case.name);
                assert!(matches!(cause, ConnectionError::TimedOut), "{}: {cause}", case.name);
            }
        }
    }
}
