//! The sockets on which a node listens.

use std::{marker::PhantomData, net::SocketAddr, rc::Rc};

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    adapter::PlatformAdapter,
    client::{
        handlers::{ClientHandler, DirectoryHandler, MetricsHandler, ReadyHandler},
        ingress,
    },
    fleet::peer_server::PeerHandler,
    node::Node,
    settings::NodeSettings,
    tcp,
};

/// Bound sockets that are not served yet.
pub struct NodeSockets {
    clients: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    /// `None` if the metrics page cannot be served; clients are served without it.
    metrics: Option<TcpListener>,
    /// UDP socket for notices to and from other nodes.
    pub notices: Rc<UdpSocket>,
}

impl NodeSockets {
    /// Binds all sockets, and replaces each port 0 in the settings by the assigned port.
    pub async fn open(settings: &mut NodeSettings) -> Result<NodeSockets> {
        let clients = listen(&mut settings.client_address)?;
        let ready = listen(&mut settings.ready_address)?;
        let directory = listen(&mut settings.directory_address)?;
        let peers = listen(&mut settings.peer_address)?;
        let metrics = match listen(&mut settings.metrics_address) {
            Ok(listener) => Some(listener),
            Err(cause) => {
                log::error!(cause:% = cause; "failed to serve the metrics page");
                None
            }
        };
        let notices = UdpSocket::bind(settings.notice_address).await;
        let notices = notices.wrap_err("failed to open the socket for notices")?;
        settings.notice_address =
            notices.local_addr().wrap_err("failed to read a socket's address")?;
        Ok(NodeSockets { clients, ready, directory, peers, metrics, notices: Rc::new(notices) })
    }

    /// Serves the listeners until the node closes.
    pub fn serve<A: PlatformAdapter>(self, node: &Rc<Node>, metrics: PrometheusHandle) {
        let adapter = PhantomData::<A>;
        let client_handler = Rc::new(ClientHandler { node: node.clone(), adapter });
        actix_rt::spawn(ingress::serve(node.clone(), self.clients, client_handler));
        let ready = Rc::new(ReadyHandler { node: node.clone(), adapter });
        actix_rt::spawn(ingress::serve(node.clone(), self.ready, ready));
        let directory = Rc::new(DirectoryHandler { node: node.clone(), adapter });
        actix_rt::spawn(ingress::serve(node.clone(), self.directory, directory));
        let peers = Rc::new(PeerHandler { node: node.clone(), adapter });
        actix_rt::spawn(ingress::serve(node.clone(), self.peers, peers));
        if let Some(listener) = self.metrics {
            let page = Rc::new(MetricsHandler { metrics });
            actix_rt::spawn(ingress::serve(node.clone(), listener, page));
        }
    }
}

fn listen(address: &mut SocketAddr) -> Result<TcpListener> {
    let listener =
        tcp::listen(*address).wrap_err_with(|| format!("failed to listen at {address}"))?;
    *address = listener.local_addr().wrap_err("failed to read a listener's address")?;
    Ok(listener)
}
