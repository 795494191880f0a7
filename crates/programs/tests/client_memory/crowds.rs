//! The crowds of clients, one test each.

use carobvane_standin::platform::request_head;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::timeout,
};

use crate::{
    client_crowd::{ClientScript, run_crowd},
    node_process::{MAX_BODY_BYTES, MAX_DESCRIPTORS, MAX_MEMORY_BYTES, NodeProcess, TEST_TIMEOUT},
};

/// Number of clients of each crowd.
const CLIENTS: usize = 128;
/// Size of a piece or a large chunk of a body, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Number of chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 64 * 1024;
/// Number of tiny chunks in one write.
const CHUNKS_PER_WRITE: usize = 1_024;
/// Length that clients with an excessive body announce, and half of what they try to send, in bytes.
const EXCESSIVE_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a head that is never completed; the limit is 16 KiB.
const HALF_HEAD_BYTES: usize = 12 * 1024;

/// Number of requests that a client sends without reading a response.
const PIPELINED_REQUESTS: usize = 50;

/// Only one crowd runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A node that a crowd is let loose on.
pub struct CrowdTest {
    pub node: NodeProcess,
    name: &'static str,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdTest {
    pub async fn start(name: &'static str) -> CrowdTest {
        let turn = ONE_AT_A_TIME.lock().await;
        let node = timeout(TEST_TIMEOUT, NodeProcess::start(name)).await;
        CrowdTest { node: node.expect("the node starts"), name, _turn: turn }
    }

    /// Runs a crowd, and checks the node while its connections are still open.
    pub async fn run(self, script: impl Fn(usize) -> ClientScript) {
        self.run_clients(CLIENTS, script).await;
    }

    /// The same with another number of clients.
    pub async fn run_clients(mut self, clients: usize, script: impl Fn(usize) -> ClientScript) {
        let crowd = run_crowd(&self.node, clients, script).await;
        let status = timeout(TEST_TIMEOUT, self.node.ask_ordinary()).await;
        let streams = self.node.endless.recorded_requests().len();
        let ended = timeout(TEST_TIMEOUT, self.node.endless.wait_for_closes(streams)).await;
        ended.expect("the node ends endless streams");
        let peak = self.node.measure();
        drop(crowd);
        println!("{}: {peak:?}", self.name);
        assert!(self.node.is_alive(), "{}: the process lives", self.name);
        assert!(peak.bytes > 0 && peak.bytes <= MAX_MEMORY_BYTES, "{}: {peak:?}", self.name);
        assert!(peak.descriptors <= MAX_DESCRIPTORS as usize, "{}: {peak:?}", self.name);
        assert_eq!(status.expect("the node responds"), 200, "{}: ordinary request", self.name);
    }
}

fn post(number: usize, framing: &str) -> String {
    request_head("POST", "read", &format!("r{number}"), &format!("{framing}\r\n")) + "\r\n"
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against a node that runs out of memory for bodies of legal size that never end.
#[actix_rt::test]
async fn whole_bodies_that_stop_short() {
    let test = CrowdTest::start("whole bodies").await;
    test.run(|number| ClientScript {
        head: post(number, &format!("Content-Length: {MAX_BODY_BYTES}")),
        piece: vec![b'x'; MAX_BODY_BYTES - 1],
        count: 1,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against the same with bodies that arrive piece by piece, side by side.
#[actix_rt::test]
async fn bodies_in_pieces_that_stop_short() {
    let test = CrowdTest::start("bodies in pieces").await;
    test.run(|number| ClientScript {
        head: post(number, &format!("Content-Length: {MAX_BODY_BYTES}")),
        piece: vec![b'x'; PIECE_BYTES],
        count: MAX_BODY_BYTES / PIECE_BYTES - 1,
        rest: vec![b'x'; PIECE_BYTES - 1],
    })
    .await;
}

/// Guards against the same with bodies whose length is not announced.
#[actix_rt::test]
async fn large_chunks_that_stop_short() {
    let test = CrowdTest::start("large chunks").await;
    test.run(|number| ClientScript {
        head: post(number, "Transfer-Encoding: chunked"),
        piece: chunk(PIECE_BYTES),
        count: MAX_BODY_BYTES / PIECE_BYTES,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against a node that spends many times the size of a body on its tiny chunks.
#[actix_rt::test]
async fn tiny_chunks_that_stop_short() {
    let test = CrowdTest::start("tiny chunks").await;
    test.run(|number| ClientScript {
        head: post(number, "Transfer-Encoding: chunked"),
        piece: chunk(1).repeat(CHUNKS_PER_WRITE),
        count: TINY_CHUNKS / CHUNKS_PER_WRITE,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against a node that reads bodies that it will refuse for their announced length.
#[actix_rt::test]
async fn excessive_bodies_that_are_announced() {
    let test = CrowdTest::start("announced bodies").await;
    test.run(|number| ClientScript {
        head: post(number, &format!("Content-Length: {EXCESSIVE_BYTES}")),
        piece: vec![b'x'; PIECE_BYTES],
        count: EXCESSIVE_BYTES / PIECE_BYTES / 2,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against a node that holds many bodies up to the limit that they exceed.
#[actix_rt::test]
async fn excessive_bodies_that_are_just_sent() {
    let test = CrowdTest::start("unannounced bodies").await;
    test.run(|number| ClientScript {
        head: post(number, "Transfer-Encoding: chunked"),
        piece: chunk(PIECE_BYTES),
        count: EXCESSIVE_BYTES / PIECE_BYTES / 2,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against a node that queues streams without bound for clients that do not read.
#[actix_rt::test]
async fn streams_that_are_not_read() {
    let test = CrowdTest::start("unread streams").await;
    test.run(|number| unread("GET", "stream", number)).await;
}

/// Guards against a node that holds whole responses for clients that do not read.
#[actix_rt::test]
async fn whole_responses_that_are_not_read() {
    let test = CrowdTest::start("unread responses").await;
    test.run(|number| unread("POST", "large", number)).await;
}

fn unread(method: &str, route: &str, number: usize) -> ClientScript {
    let head = request_head(method, route, &format!("r{number}"), "") + "\r\n";
    ClientScript { head, piece: Vec::new(), count: 0, rest: Vec::new() }
}

/// Guards against a node that keeps heads, and the connections of clients that never complete one.
#[actix_rt::test]
async fn heads_that_stop_short() {
    let test = CrowdTest::start("half-open heads").await;
    test.run(|number| ClientScript {
        head: request_head("GET", "read", &format!("r{number}"), "X-Filler: "),
        piece: vec![b'x'; HALF_HEAD_BYTES],
        count: 1,
        rest: Vec::new(),
    })
    .await;
}

/// Guards against a node that keeps what it ignores: the extensions of chunks and the trailers of a body.
#[actix_rt::test]
async fn ignored_parts_of_bodies_without_end() {
    struct Case {
        name: &'static str,
        start: &'static str,
        line: String,
    }
    let filler = "x".repeat(1_000);
    let cases = [
        Case { name: "one extension", start: "4;", line: filler.clone() },
        Case { name: "extensions", start: "", line: format!("1;{filler}\r\nx\r\n") },
        Case { name: "one trailer", start: "0\r\nX: ", line: filler.clone() },
        Case { name: "trailers", start: "0\r\n", line: format!("X: {filler}\r\n") },
    ];
    for case in cases {
        let test = CrowdTest::start(case.name).await;
        test.run(|number| ClientScript {
            head: post(number, "Transfer-Encoding: chunked") + case.start,
            piece: case.line.repeat(PIECE_BYTES / case.line.len()).into_bytes(),
            count: MAX_BODY_BYTES / PIECE_BYTES,
            rest: Vec::new(),
        })
        .await;
    }
}

/// Guards against a node that reads requests ahead without bound while it handles earlier ones.
#[actix_rt::test]
async fn pipelined_requests() {
    let test = CrowdTest::start("pipelined requests").await;
    test.run(|number| ClientScript {
        head: request_head("GET", "read", &format!("r{number}"), "") + "\r\n",
        piece: (request_head("GET", "read", &format!("p{number}"), "") + "\r\n").into_bytes(),
        count: PIPELINED_REQUESTS,
        rest: Vec::new(),
    })
    .await;
}
