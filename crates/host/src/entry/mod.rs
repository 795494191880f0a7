//! The entry process: authenticates clients, enforces plan limits, and forwards completions to
//! model engines and other calls to plain services.

mod active_lists;
mod admin;
mod attempt;
mod attempt_start;
mod claims;
mod completions;
mod decisions;
mod discovery;
mod engine_watch;
mod error;
mod event_limit;
mod host;
mod permits;
mod placement;
mod plans;
mod relay;
mod relay_attempt;
mod routing;
mod send_error;
mod servers;
mod service_call;
mod services;
mod shared;
mod sink;
mod suspects;
mod vm_watch;

use std::{
    any::Any,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use actix_web::{
    App, HttpServer,
    dev::{Extensions, ServerHandle},
    rt::net::TcpStream,
    web,
};
use carobvane_core::ids::NodeIncarnation;
use carobvane_proto::peer::PeerRole;
use eyre::{Result, WrapErr};

pub use error::{ApiError, ErrorCode};
use shared::EntryShared;

use crate::{
    clock,
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    node::{ListSource, NodeActor},
    peer::PeerConnections,
    settings::EntrySettings,
};

/// Time within which a client must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a graceful stop leaves open connections to finish, in seconds.
const SHUTDOWN_SECONDS: u64 = 30;

/// Handle of a running entry, with its bound addresses.
pub struct EntryHandle {
    /// Bound address for clients.
    pub address: SocketAddr,
    /// Bound address for operators: health, metrics and status.
    pub admin: SocketAddr,
    /// Bound address for the connections of other entries and stewards.
    pub peer: SocketAddr,
    shared: Arc<EntryShared>,
    client_server: ServerHandle,
    admin_server: ServerHandle,
}

impl EntryHandle {
    /// Returns whether this entry has received lists, without which it refuses all requests.
    pub fn is_ready(&self) -> bool {
        self.shared.lists().is_some()
    }

    /// Waits until an operator requests a drain through the admin endpoint.
    pub async fn wait_for_drain_request(&self) {
        self.shared.wait_for_drain_request().await;
    }

    /// Shuts down gracefully: leaves discovery, redirects new requests once cached discovery
    /// responses have expired, and stops when no request is in progress.
    pub async fn drain(&self) {
        self.shared.begin_drain();
        tokio::time::sleep(shared::DISCOVERY_LIFETIME).await;
        self.shared.refuse_new_requests();
        while self.shared.in_progress() > 0 {
            tokio::time::sleep(shared::DRAIN_POLL).await;
        }
        self.client_server.stop(true).await;
        self.admin_server.stop(true).await;
    }

    /// Stops at once and aborts the requests in progress.
    pub async fn stop(&self) {
        self.client_server.stop(false).await;
        self.admin_server.stop(false).await;
    }
}

/// Starts an entry on the current actix arbiter. Requests of clients are served by worker threads.
///
/// # Errors
///
/// Fails if an address cannot be bound or if TLS between processes cannot be configured.
pub fn start(settings: EntrySettings) -> Result<EntryHandle> {
    let incarnation = clock::new_incarnation();
    let own = NodeIncarnation { node: settings.node.id, incarnation };
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let admin_listener = bind(settings.node.admin)?;
    let admin = admin_listener.local_addr()?;
    let (peer, sender, inputs) = PeerConnections::start(
        own,
        PeerRole::Entry,
        settings.node.peer,
        &settings.node.join,
        &settings.node.fleet_key,
    )?;
    let keyvalue = KeyvalueClient::new(KeyvalueSettings::new(settings.node.keyvalue.as_str()));
    let keyvalue_url = settings.node.keyvalue.to_string();
    let (shared, calls) = EntryShared::new(settings, own, sender.clone());
    let shared = Arc::new(shared);
    claims::start_store_task(Arc::clone(&shared), &keyvalue_url, calls);
    let source = ListSource::new(keyvalue);
    let host = host::EntryHost::new(Arc::clone(&shared));
    NodeActor::launch(host, source, sender, inputs, false, incarnation.0);
    if let Some(url) = shared.settings.vm_list.clone() {
        actix_rt::spawn(vm_watch::watch_vms(Arc::clone(&shared), url));
    }
    let client_server = serve_clients(&shared, listener)?;
    let admin_server = serve_admin(&shared, admin_listener)?;
    log::info!(
        node = own.node.0, incarnation = incarnation.0, address:% = address, admin:% = admin,
        peer:% = peer; "entry started"
    );
    Ok(EntryHandle { address, admin, peer, shared, client_server, admin_server })
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("failed to bind {address}"))
}

fn serve_clients(shared: &Arc<EntryShared>, listener: TcpListener) -> Result<ServerHandle> {
    let workers = shared.settings.workers;
    let data = web::Data::from(Arc::clone(shared));
    let server = HttpServer::new(move || {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().timeout(attempt::CONNECT_TIMEOUT).limit(0))
            .disable_timeout()
            .finish();
        App::new()
            .app_data(data.clone())
            .app_data(web::Data::new(client))
            .configure(completions::configure)
            .configure(permits::configure)
            .configure(services::configure)
            .configure(discovery::configure)
    })
    .on_connect(disable_nagle)
    .workers(workers)
    .client_request_timeout(HEAD_TIMEOUT)
    .shutdown_timeout(SHUTDOWN_SECONDS)
    .disable_signals()
    .listen(listener)
    .wrap_err("failed to listen for clients")?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Disables Nagle's algorithm. With it, each of the small chunks of a stream would wait up to 40 ms
/// for an acknowledgement.
fn disable_nagle(connection: &dyn Any, _extensions: &mut Extensions) {
    if let Some(stream) = connection.downcast_ref::<TcpStream>() {
        // An error is ignored, because the connection still works, only slower.
        stream.set_nodelay(true).ok();
    }
}

fn serve_admin(shared: &Arc<EntryShared>, listener: TcpListener) -> Result<ServerHandle> {
    let data = web::Data::from(Arc::clone(shared));
    let server =
        HttpServer::new(move || App::new().app_data(data.clone()).configure(admin::configure))
            .workers(1)
            .disable_signals()
            .listen(listener)
            .wrap_err("failed to listen for operators")?
            .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
