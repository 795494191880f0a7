//! The steward: keeps the accepted lists for the processes of its VM and, while it holds the order
//! lease, sends orders to model engines.

mod orders;

use std::net::SocketAddr;

use actix_web::{App, HttpResponse, HttpServer, web};
use carobvane_core::{clock::ClockTime, ids::NodeIncarnation, lists::ListSnapshot};
use carobvane_proto::{
    admin::{NodeRole, NodeStatus},
    peer::{PeerMessage, PeerRole},
};
use eyre::{Result, WrapErr};
use orders::OrderExecutor;
use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

use crate::{
    clock,
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    node::{ListSource, NodeActor, NodeHandler},
    peer::{PeerConnections, PeerSender},
    settings::StewardSettings,
    telemetry,
};

/// Addresses of a running steward, and a handle to stop it.
pub struct StewardHandle {
    /// Bound address for operators and metrics.
    pub admin: SocketAddr,
    /// Bound address for other carobvane processes.
    pub peer: SocketAddr,
    admin_server: actix_web::dev::ServerHandle,
}

impl StewardHandle {
    /// Stops the admin server after its open requests.
    pub async fn stop(&self) {
        self.admin_server.stop(true).await;
    }
}

/// Starts a steward on the current actix arbiter.
///
/// # Errors
///
/// Fails if an address cannot be bound or TLS between processes cannot be configured.
pub fn start(settings: StewardSettings) -> Result<StewardHandle> {
    let incarnation = clock::new_incarnation();
    let own = NodeIncarnation { node: settings.node.id, incarnation };
    let listener = std::net::TcpListener::bind(settings.node.admin)
        .wrap_err_with(|| format!("failed to bind {}", settings.node.admin))?;
    let admin = listener.local_addr()?;
    let (peer, sender, events) = PeerConnections::start(
        own,
        PeerRole::Steward,
        settings.node.peer,
        &settings.node.join,
        &settings.node.fleet_key,
    )?;
    let status = Arc::new(Mutex::new(NodeStatus {
        node: own.node.0,
        role: NodeRole::Steward,
        incarnation: incarnation.0,
        data_centre: settings.node.data_centre.clone(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        ..NodeStatus::default()
    }));
    let keyvalue = KeyvalueClient::new(KeyvalueSettings::new(settings.node.keyvalue.as_str()));
    let orders = OrderExecutor::new(own, settings.max_loads, keyvalue.clone());
    let handler = StewardHandler { sender: sender.clone(), status: Arc::clone(&status), orders };
    NodeActor::launch(handler, ListSource::new(keyvalue), sender, events, true, incarnation.0);
    let data = web::Data::from(status);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
            .route("/metrics", web::get().to(async || telemetry::render_metrics()))
            .route("/admin/status", web::get().to(get_status))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)
    .wrap_err("failed to listen for operators")?
    .run();
    let admin_server = server.handle();
    actix_rt::spawn(server);
    log::info!(node = own.node.0, admin:% = admin, peer:% = peer; "steward started");
    Ok(StewardHandle { admin, peer, admin_server })
}

async fn get_status(status: web::Data<Mutex<NodeStatus>>) -> HttpResponse {
    let status = status.lock().unwrap_or_else(PoisonError::into_inner);
    HttpResponse::Ok().json(&*status)
}

struct StewardHandler {
    sender: PeerSender,
    status: Arc<Mutex<NodeStatus>>,
    orders: Rc<OrderExecutor>,
}

impl NodeHandler for StewardHandler {
    fn activate(&mut self, snapshot: &ListSnapshot) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.list_version = Some(snapshot.version.number);
        status.list_digest = snapshot.version.digest.to_string();
        for entry in snapshot.document.entries.values() {
            if let Ok(address) = entry.peer_address.parse() {
                self.sender.keep_connected(address);
            }
        }
        drop(status);
        self.orders.activate_lists(&snapshot.document);
    }

    fn peer_joined(&mut self, _now: ClockTime, _peer: NodeIncarnation, _role: PeerRole) {}

    fn peer_left(&mut self, _now: ClockTime, _peer: NodeIncarnation) {}

    fn peer_message(&mut self, _now: ClockTime, peer: NodeIncarnation, _message: PeerMessage) {
        log::debug!(node = peer.node.0; "message without a receiver");
    }

    fn tick(&mut self, now: ClockTime) {
        self.orders.tick(now);
    }
}
