//! Connections to other processes and the frames on them.
//!
//! Each message travels on a stream of its own, so a lost packet delays one message only. The
//! decision library tolerates reordered, duplicated and lost messages.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use carobvane_core::ids::{NodeId, NodeIncarnation};
use carobvane_proto::peer::{
    MAX_FRAME_BYTES, PeerEnvelope, PeerMessage, PeerRole, decode_frame, encode_frame,
};
use eyre::{Result, WrapErr};
use quinn::{Connection, Endpoint, TransportConfig, VarInt};
use tokio::sync::mpsc;

use super::{FleetKey, tls};

/// Messages that wait for the control loop; more are dropped and counted.
const INPUT_CAPACITY: usize = 4_096;
/// Messages that wait to be sent; more are dropped and counted.
const OUTPUT_CAPACITY: usize = 4_096;
/// Streams that a peer may have open at once.
const MAX_PEER_STREAMS: u32 = 256;
/// A link without a packet for this long is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of keep-alive packets on a link.
const LINK_KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Longest time to establish a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to establish a link.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);

/// What links report to the control loop.
#[derive(Debug)]
pub enum PeerInput {
    /// A process can be reached.
    Joined {
        /// The process.
        life: NodeIncarnation,
        /// Its role.
        role: PeerRole,
    },
    /// The last link to a process has closed.
    Left {
        /// The process.
        life: NodeIncarnation,
    },
    /// A message has arrived.
    Received {
        /// The sender.
        life: NodeIncarnation,
        /// The sender's role.
        role: PeerRole,
        /// The message.
        message: PeerMessage,
    },
}

/// Sends messages to other processes; cheap to clone and usable from any thread.
#[derive(Debug, Clone)]
pub struct PeerSender {
    sender: mpsc::Sender<PeerOutput>,
}

#[derive(Debug)]
enum PeerOutput {
    Send(NodeId, PeerMessage),
    Broadcast(PeerMessage),
    Dial(SocketAddr),
}

impl PeerSender {
    /// Sends a message to a node; dropped if there is no link to it.
    pub fn send(&self, node: NodeId, message: PeerMessage) {
        self.push(PeerOutput::Send(node, message));
    }

    /// Sends a message to every linked process.
    pub fn broadcast(&self, message: PeerMessage) {
        self.push(PeerOutput::Broadcast(message));
    }

    /// Keeps a link to `address` from now on.
    pub fn dial(&self, address: SocketAddr) {
        self.push(PeerOutput::Dial(address));
    }

    fn push(&self, output: PeerOutput) {
        if self.sender.try_send(output).is_err() {
            metrics::counter!("carobvane_peer_messages_dropped_total", "direction" => "out")
                .increment(1);
        }
    }
}

/// The links of this process.
pub struct PeerLinks {
    endpoint: Endpoint,
    own: NodeIncarnation,
    role: PeerRole,
    inputs: mpsc::Sender<PeerInput>,
    links: RefCell<HashMap<NodeId, PeerLink>>,
    dialled: RefCell<Vec<SocketAddr>>,
}

struct PeerLink {
    life: NodeIncarnation,
    connection: Connection,
}

impl PeerLinks {
    /// Listens on `listen` and links to the processes of `join`.
    ///
    /// Must be called on an actix arbiter, which then runs the links.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or TLS cannot be configured.
    pub fn start(
        own: NodeIncarnation,
        role: PeerRole,
        listen: SocketAddr,
        join: &[SocketAddr],
        key: &FleetKey,
    ) -> Result<(SocketAddr, PeerSender, mpsc::Receiver<PeerInput>)> {
        let endpoint = bind_endpoint(listen, key)?;
        let address = endpoint.local_addr().wrap_err("failed to read the peer address")?;
        let (inputs, input_receiver) = mpsc::channel(INPUT_CAPACITY);
        let (sender, output_receiver) = mpsc::channel(OUTPUT_CAPACITY);
        let links = Rc::new(PeerLinks {
            endpoint,
            own,
            role,
            inputs,
            links: RefCell::default(),
            dialled: RefCell::new(vec![address]),
        });
        actix_rt::spawn(accept_links(Rc::clone(&links)));
        actix_rt::spawn(send_outputs(Rc::clone(&links), output_receiver));
        for &peer in join {
            start_dialling(&links, peer);
        }
        Ok((address, PeerSender { sender }, input_receiver))
    }

    fn report(&self, input: PeerInput) {
        if self.inputs.try_send(input).is_err() {
            metrics::counter!("carobvane_peer_messages_dropped_total", "direction" => "in")
                .increment(1);
        }
    }

    fn register(&self, envelope: &PeerEnvelope, connection: &Connection) {
        let life = envelope.from;
        let mut links = self.links.borrow_mut();
        let known = links.get(&life.node);
        if known.is_some_and(|link| {
            link.life.incarnation > life.incarnation
                || link.connection.stable_id() == connection.stable_id()
        }) {
            return;
        }
        let joined = known.is_none_or(|link| link.life != life);
        links.insert(life.node, PeerLink { life, connection: connection.clone() });
        if joined {
            self.report(PeerInput::Joined { life, role: envelope.role });
        }
    }

    fn forget(&self, connection: &Connection) {
        let mut links = self.links.borrow_mut();
        let closed = links
            .iter()
            .find(|(_, link)| link.connection.stable_id() == connection.stable_id())
            .map(|(&node, link)| (node, link.life));
        if let Some((node, life)) = closed {
            links.remove(&node);
            self.report(PeerInput::Left { life });
        }
    }
}

fn bind_endpoint(listen: SocketAddr, key: &FleetKey) -> Result<Endpoint> {
    let tls = tls::peer_tls(key)?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(LINK_IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(LINK_KEEP_ALIVE));
    transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_PEER_STREAMS));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(0));
    let transport = Arc::new(transport);
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(tls.server));
    server.transport_config(Arc::clone(&transport));
    let mut client = quinn::ClientConfig::new(Arc::new(tls.client));
    client.transport_config(transport);
    let mut endpoint = Endpoint::server(server, listen)
        .wrap_err_with(|| format!("failed to bind the peer address {listen}"))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

async fn accept_links(links: Rc<PeerLinks>) {
    while let Some(incoming) = links.endpoint.accept().await {
        let links = Rc::clone(&links);
        actix_rt::spawn(async move {
            let remote = incoming.remote_address();
            match incoming.await {
                Ok(connection) => serve_link(links, connection).await,
                Err(error) => {
                    log::warn!(remote:% = remote, error:% = error; "failed to accept a peer link");
                }
            }
        });
    }
}

fn start_dialling(links: &Rc<PeerLinks>, address: SocketAddr) {
    if links.dialled.borrow().contains(&address) {
        return;
    }
    links.dialled.borrow_mut().push(address);
    let links = Rc::clone(links);
    actix_rt::spawn(async move {
        loop {
            if let Some(connection) = dial(&links.endpoint, address).await {
                serve_link(Rc::clone(&links), connection).await;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    });
}

async fn dial(endpoint: &Endpoint, address: SocketAddr) -> Option<Connection> {
    let connecting = endpoint.connect(address, tls::PEER_NAME).ok()?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!(remote:% = address, error:% = error; "failed to link to a peer");
            None
        }
        Err(_) => None,
    }
}

async fn serve_link(links: Rc<PeerLinks>, connection: Connection) {
    send_message(&links, connection.clone(), PeerMessage::Hello);
    loop {
        match connection.accept_uni().await {
            Ok(stream) => {
                actix_rt::spawn(receive_message(Rc::clone(&links), connection.clone(), stream));
            }
            Err(error) => {
                log::debug!(
                    remote:% = connection.remote_address(), error:% = error; "peer link closed"
                );
                break;
            }
        }
    }
    links.forget(&connection);
}

async fn receive_message(
    links: Rc<PeerLinks>,
    connection: Connection,
    mut stream: quinn::RecvStream,
) {
    let remote = connection.remote_address();
    let frame = match stream.read_to_end(MAX_FRAME_BYTES).await {
        Ok(frame) => frame,
        Err(error) => {
            log::warn!(remote:% = remote, error:% = error; "failed to read a peer frame");
            return;
        }
    };
    metrics::counter!("carobvane_peer_bytes_total", "direction" => "in")
        .increment(frame.len() as u64);
    let envelope: PeerEnvelope = match decode_frame(&frame) {
        Ok(envelope) => envelope,
        Err(error) => {
            log::warn!(remote:% = remote, error:% = error; "rejected a peer frame");
            return;
        }
    };
    if envelope.from.node == links.own.node {
        log::error!(remote:% = remote, node = envelope.from.node.0; "a peer uses this node number");
        return;
    }
    links.register(&envelope, &connection);
    let PeerEnvelope { from: life, role, message } = envelope;
    if !matches!(message, PeerMessage::Hello) {
        links.report(PeerInput::Received { life, role, message });
    }
}

async fn send_outputs(links: Rc<PeerLinks>, mut outputs: mpsc::Receiver<PeerOutput>) {
    while let Some(output) = outputs.recv().await {
        match output {
            PeerOutput::Send(node, message) => {
                let connection =
                    links.links.borrow().get(&node).map(|link| link.connection.clone());
                if let Some(connection) = connection {
                    send_message(&links, connection, message);
                }
            }
            PeerOutput::Broadcast(message) => {
                let connections: Vec<Connection> =
                    links.links.borrow().values().map(|link| link.connection.clone()).collect();
                for connection in connections {
                    send_message(&links, connection, message.clone());
                }
            }
            PeerOutput::Dial(address) => start_dialling(&links, address),
        }
    }
}

fn send_message(links: &PeerLinks, connection: Connection, message: PeerMessage) {
    let envelope = PeerEnvelope { from: links.own, role: links.role, message };
    let frame = match encode_frame(&envelope) {
        Ok(frame) => frame,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a peer message");
            return;
        }
    };
    metrics::counter!("carobvane_peer_bytes_total", "direction" => "out")
        .increment(frame.len() as u64);
    actix_rt::spawn(async move {
        if let Ok(mut stream) = connection.open_uni().await
            && stream.write_all(&frame).await.is_ok()
        {
            stream.finish().ok();
        }
    });
}
