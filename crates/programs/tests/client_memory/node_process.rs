//! A node as a process of its own, its stand-ins in the test process, and its use of memory.

use std::{
    cell::Cell,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use carobvane_standin::platform::{
    BackendHandle, BackendResponse, ClientLimitsDocument, RouteDocument, StoreHandle, config_key,
    machine_limits, node_config, node_settings_file, request_head, response_head, server_entry,
    start_backend, start_store,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
};

/// Memory of the machine in its settings, in MB. Smaller machines have 88.
const MEMORY_MB: u32 = 96;
/// Bound of the process's memory, in bytes, by the smaller reading of the unit.
pub const MAX_MEMORY_BYTES: usize = MEMORY_MB as usize * 1_000_000;
/// Maximum number of open descriptors in its settings, and bound of the test.
pub const MAX_DESCRIPTORS: u32 = 1_400;
/// Largest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time after which the node ends a request of the crowd, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 4_000;
/// Limit of each wait, far above the time that any should take.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);
/// Bytes of each event of an endless stream.
const EVENT_BYTES: usize = 16 * 1024;
/// Number of measurements of which one counts the unread bytes. The system's table of connections has
/// more than 100,000 lines while other programs open many, and is read as a whole.
const MEASUREMENTS_PER_UNREAD: usize = 16;
/// Lines of the node's log that are kept until the test reads them.
const LINE_CAPACITY: usize = 10_000;

/// A running node with a server that answers, one with large responses and one with endless streams.
pub struct NodeProcess {
    process: ChildProcess,
    _store: StoreHandle,
    _ordinary: BackendHandle,
    _large: BackendHandle,
    /// Server of the route `stream`.
    pub endless: BackendHandle,
    /// Server of the routes `faulty` and `faulty-stream`, which responds as a test tells it.
    pub faulty: BackendHandle,
    /// Address for clients.
    pub address: SocketAddr,
    peak: Cell<MemoryPeak>,
    measurements: Cell<usize>,
}

/// Largest use of memory and descriptors that was seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemoryPeak {
    /// Largest resident memory, with the bytes that were received and not yet read.
    pub bytes: usize,
    /// Largest resident memory alone.
    pub resident_bytes: usize,
    /// Largest number of open descriptors.
    pub descriptors: usize,
}

impl NodeProcess {
    /// Starts the node and waits until it serves its configuration.
    pub async fn start(name: &str) -> NodeProcess {
        let store = start_store().await.expect("the store starts");
        let ordinary = format!("{}ok", response_head("Content-Length: 2\r\n"));
        let ordinary = backend(BackendResponse::Send(ordinary)).await;
        let length = MAX_BODY_BYTES - 1;
        let large = response_head(&format!("Content-Length: {length}\r\n")) + &"x".repeat(length);
        let large = backend(BackendResponse::Send(large)).await;
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let head =
            response_head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        let endless = backend(BackendResponse::Endless { head, piece: chunk }).await;
        let faulty = backend(BackendResponse::NoResponse).await;
        let servers = [
            ("ordinary", &ordinary),
            ("large", &large),
            ("endless", &endless),
            ("faulty", &faulty),
        ];
        for (service, server) in servers {
            store.put(&format!("servers/{service}"), &server_entry(service, server.addr()));
        }
        store.put(config_key(), &config());
        let limits = machine_limits(MAX_DESCRIPTORS, Some(MEMORY_MB));
        let settings = node_settings_file(store.addr(), limits);
        let file = format!("carobvane-client-memory-{}-{name}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(file);
        fs::write(&settings_path, settings.to_string()).expect("the settings can be written");
        let mut process = ChildProcess::spawn(settings_path);
        let address = process.wait_for_address().await;
        NodeProcess {
            process,
            _store: store,
            _ordinary: ordinary,
            _large: large,
            endless,
            faulty,
            address,
            peak: Cell::default(),
            measurements: Cell::new(0),
        }
    }

    /// Sends one ordinary request and returns the status of the response.
    pub async fn ask_ordinary(&self) -> u16 {
        let mut stream = TcpStream::connect(self.address).await.expect("the node listens");
        let request = request_head("GET", "read", "ordinary", "Connection: close\r\n") + "\r\n";
        stream.write_all(request.as_bytes()).await.expect("the node reads");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("the node responds");
        let text = String::from_utf8_lossy(&response);
        text.get(9..12).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.process.child.try_wait().expect("the process can be waited for").is_none()
    }

    /// Reads the process's use of memory and descriptors, and returns the largest so far.
    pub fn measure(&self) -> MemoryPeak {
        let pid = self.process.child.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let (resident, largest) = (kilobytes(&status, "VmRSS:"), kilobytes(&status, "VmHWM:"));
        let open = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        let mut peak = self.peak.get();
        peak.resident_bytes = peak.resident_bytes.max(largest);
        let number = self.measurements.replace(self.measurements.get() + 1);
        let unread = match number % MEASUREMENTS_PER_UNREAD {
            0 => unread_bytes(self.address.port()),
            _ => 0,
        };
        peak.bytes = peak.bytes.max(largest).max(resident + unread);
        peak.descriptors = peak.descriptors.max(open);
        self.peak.set(peak);
        peak
    }
}

/// The process of a node, which ends when the value is dropped.
struct ChildProcess {
    child: Child,
    settings_path: PathBuf,
}

impl ChildProcess {
    fn spawn(settings_path: PathBuf) -> ChildProcess {
        let child = Command::new(env!("CARGO_BIN_EXE_carobvane-node"))
            .env("CAROBVANE_NODE_FILE", &settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        ChildProcess { child, settings_path }
    }

    /// Waits until the node serves its configuration, and returns its address for clients.
    async fn wait_for_address(&mut self) -> SocketAddr {
        let output = self.child.stdout.take().expect("its output is piped");
        let (sender, mut lines) = mpsc::channel::<Value>(LINE_CAPACITY);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    // Later lines, which no test reads, are dropped once the channel is full.
                    drop(sender.try_send(value));
                }
            }
        });
        let mut address = None;
        loop {
            let line = lines.recv().await.expect("the node starts");
            if line["message"] == "node started" {
                let text = line["attributes"]["callers"].as_str().unwrap_or_default();
                address = text.parse().ok();
            }
            if line["message"] == "configuration received" {
                return address.expect("the node names its address");
            }
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // These fail only if the process or the file is gone already.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings_path));
    }
}

async fn backend(response: BackendResponse) -> BackendHandle {
    start_backend(response).await.expect("the backend starts")
}

fn config() -> Value {
    let route =
        |name, kind, service| RouteDocument { name, kind, service, timeout_ms: ROUTE_TIMEOUT_MS };
    let routes = [
        route("read", "idempotent", "ordinary"),
        route("large", "non_idempotent", "large"),
        route("stream", "streaming", "endless"),
        route("faulty", "non_idempotent", "faulty"),
        route("faulty-stream", "streaming", "faulty"),
    ];
    let limits = ClientLimitsDocument {
        max_header_bytes: 16_384,
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    node_config(&routes, limits)
}

fn kilobytes(status: &str, field: &str) -> usize {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse::<usize>().ok()).unwrap_or(0) * 1024
}

/// Returns the bytes that were received on connections to a port and not yet read.
fn unread_bytes(port: u16) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!(":{port:04X}");
    let lines = table.lines().skip(1).filter(|line| line.contains(&local));
    let unread = lines.filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // The queue of a listener (state 0A) counts connections.
        let counts = fields.get(1)?.ends_with(&local) && *fields.get(3)? != "0A";
        let (_, unread) = fields.get(4)?.split_once(':')?;
        counts.then(|| usize::from_str_radix(unread, 16).ok())?
    });
    unread.sum()
}
