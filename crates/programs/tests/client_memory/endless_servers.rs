//! Servers that send bytes without end to many requests at once.

use carobvane_standin::platform::{BackendResponse, request_head, response_head};

use crate::{client_crowd::ClientScript, crowds::CrowdTest};

/// Number of requests at once, below the connections that the node allows one address.
const REQUESTS: usize = 128;
/// Size of a piece of an endless response, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Guards against a node that keeps bytes which are no answer, or no end of one, until its memory is full, so
/// that the requests of other clients end with it (LOST).
#[actix_rt::test]
async fn bytes_without_end_from_servers_stay_within_the_memory() {
    struct Case {
        name: &'static str,
        route: &'static str,
        head: String,
        piece: String,
    }
    let filler = "x".repeat(PIECE_BYTES);
    let chunked = response_head("Transfer-Encoding: chunked\r\n");
    let unframed = response_head("");
    let header = unframed.trim_end_matches("\r\n").to_string() + "\r\nX: ";
    let chunk = format!("{PIECE_BYTES:x}\r\n{filler}\r\n");
    let informational = "HTTP/1.1 103 Early\r\n\r\n".repeat(100);
    let case =
        |name, route, head: String, piece: &str| Case { name, route, head, piece: piece.into() };
    let cases = [
        case("no head", "faulty", String::new(), &filler),
        case("header", "faulty", header, &filler),
        case("informational heads", "faulty", String::new(), &informational),
        case("body", "faulty", unframed.clone(), &filler),
        case("chunks", "faulty", chunked.clone(), &chunk),
        case("chunk extension", "faulty", format!("{chunked}4;"), &filler),
        case("trailer", "faulty", format!("{chunked}0\r\nX: "), &filler),
        case("event", "faulty-stream", chunked.clone(), &chunk),
        case("event without chunks", "faulty-stream", unframed, &filler),
    ];
    for case in cases {
        let test = CrowdTest::start(case.name).await;
        let response = BackendResponse::Endless { head: case.head, piece: case.piece };
        test.node.faulty.queue_responses(vec![response; REQUESTS]);
        test.run_clients(REQUESTS, |number| ClientScript {
            head: request_head("POST", case.route, &format!("r{number}"), "Content-Length: 0\r\n")
                + "\r\n",
            piece: Vec::new(),
            count: 0,
            rest: Vec::new(),
        })
        .await;
    }
}
