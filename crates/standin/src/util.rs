//! Shared parts of the stand-ins: listening, broken answers, deterministic hashes.

use std::{io, net::SocketAddr, net::TcpListener, sync::Mutex, sync::MutexGuard, time::Duration};

use actix_web::{HttpResponse, dev::ServerHandle, web::Bytes};

/// Largest request body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// Worker threads of one stand-in; its work is bounded by simulated time, not by threads.
pub const WORKER_THREADS: usize = 1;

/// Binds a listener on `addr`, where port 0 lets the system choose.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// The loopback address with a port of the system's choice.
pub fn ephemeral_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An answer whose connection breaks before a byte of it is sent.
pub fn aborted_response() -> HttpResponse {
    let broken = futures::stream::once(async {
        Err::<Bytes, io::Error>(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    HttpResponse::Ok().streaming(broken)
}

/// Locks a mutex; a poisoned lock means that a stand-in panicked, and its state stays readable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A duration in milliseconds that may be fractional.
pub fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}

/// Hashes parts to 64 bits with FNV-1a; part borders count.
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

/// Mixes a number into a well-spread one (the finalizer of splitmix64).
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A running HTTP server with its address.
#[derive(Debug, Clone)]
pub struct RunningServer {
    pub(crate) addr: SocketAddr,
    pub(crate) server: ServerHandle,
}

impl RunningServer {
    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops it and breaks its connections.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// Sends small chunks at once; with Nagle's algorithm each would wait for an acknowledgement.
pub(crate) fn disable_nagle(
    connection: &dyn std::any::Any,
    _extensions: &mut actix_web::dev::Extensions,
) {
    if let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() {
        stream.set_nodelay(true).ok();
    }
}

/// Serves `$app` (an expression that builds the `App`) on a listener and returns a
/// [`RunningServer`].
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
