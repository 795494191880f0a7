//! Helpers shared by the simulators: listeners, aborted responses and deterministic hashes.

use std::{io, net::SocketAddr, net::TcpListener, sync::Mutex, sync::MutexGuard, time::Duration};

use actix_web::{HttpResponse, dev::ServerHandle, web::Bytes};

/// Largest request body that a simulator accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// HTTP worker threads of one simulator. One is enough: requests spend their time in simulated
/// delays, not in computation.
pub const WORKER_THREADS: usize = 1;

/// Binds a non-blocking listener to `addr`. Port 0 selects an ephemeral port.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Returns the loopback address with port 0, which binds to an ephemeral port.
pub fn ephemeral_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a response whose body fails at once, so that the connection closes before any byte of
/// the response is sent.
pub fn aborted_response() -> HttpResponse {
    let broken = futures::stream::once(async {
        Err::<Bytes, io::Error>(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    HttpResponse::Ok().streaming(broken)
}

/// Locks a mutex, also if it is poisoned: the state of a simulator that panicked stays readable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Converts milliseconds, which may be fractional, to a duration. Negative values become zero.
pub fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}

/// Hashes byte strings to 64 bits with FNV-1a. The length of each part is hashed after its bytes,
/// so that `["ab", "c"]` and `["a", "bc"]` hash differently.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.iter().chain(&(part.len() as u64).to_le_bytes()) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    hash
}

/// Scrambles the bits of a number with the finalizer of splitmix64.
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A running HTTP server. Clones refer to the same server.
#[derive(Debug, Clone)]
pub struct RunningServer {
    pub(crate) addr: SocketAddr,
    pub(crate) server: ServerHandle,
}

impl RunningServer {
    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server at once and closes its open connections.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// Sets `TCP_NODELAY` on an accepted connection. With Nagle's algorithm, each small chunk of a
/// stream would wait for the acknowledgement of the one before.
pub(crate) fn disable_nagle(
    connection: &dyn std::any::Any,
    _extensions: &mut actix_web::dev::Extensions,
) {
    if let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() {
        stream.set_nodelay(true).ok();
    }
}

/// Starts an HTTP server on `$listener` and evaluates to its [`RunningServer`]. `$app` is the
/// closure that builds the `App` of each worker. Must be used in a function that returns
/// `io::Result`, because it uses `?`.
#[macro_export]
macro_rules! serve {
    ($listener:expr, $app:expr) => {{
        let listener = $listener;
        let addr = listener.local_addr()?;
        let server = actix_web::HttpServer::new($app)
            .on_connect($crate::util::disable_nagle)
            .workers($crate::util::WORKER_THREADS)
            .disable_signals()
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        $crate::util::RunningServer { addr, server: handle }
    }};
}
