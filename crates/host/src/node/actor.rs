//! Actor that runs list replication and delivers peer events to the program of a node.

use std::time::Duration;

use actix::{
    Actor, ActorContext, AsyncContext, Context, Handler, Message, StreamHandler, WrapFuture,
};
use carobvane_core::{
    clock::ClockTime,
    ids::NodeIncarnation,
    lists::{KeyValueReport, ListReplicator, ListSnapshot, ListVersion, ReplicationEffect},
};
use carobvane_proto::peer::{PeerMessage, PeerRole};
use futures::stream::unfold;
use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tokio::sync::mpsc;

use super::source::{CHANGE_PREFIX, ListSource, decode_stored};
use crate::{
    clock,
    keyvalue::{KeyChange, WatchBatch},
    peer::{PeerEvent, PeerSender},
};

/// Interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of random peers that receive a version summary in each interval. If every peer received
/// one, each of 780 nodes would send 780 messages per second.
const PEERS_PER_SUMMARY: usize = 3;
/// Interval between version summaries to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// A watch without a change for this long is reopened, in case its connection is dead.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a failed watch is reopened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Callbacks through which [`NodeActor`] reports to an entry or a steward.
pub trait NodeHandler: Unpin + 'static {
    /// Starts using a new version of the lists.
    fn activate(&mut self, snapshot: &ListSnapshot);

    /// Handles a new connection to a process.
    fn peer_joined(&mut self, now: ClockTime, peer: NodeIncarnation, role: PeerRole);

    /// Handles the loss of the connection to a process.
    fn peer_left(&mut self, now: ClockTime, peer: NodeIncarnation);

    /// Handles a message that does not concern list replication.
    fn peer_message(&mut self, now: ClockTime, peer: NodeIncarnation, message: PeerMessage);

    /// Runs the timers of the program; called every 20 ms.
    fn tick(&mut self, now: ClockTime);
}

/// Runs list replication and passes all other peer events to a [`NodeHandler`].
pub struct NodeActor<H> {
    handler: H,
    replicator: ListReplicator,
    source: ListSource,
    sender: PeerSender,
    peers: Vec<NodeIncarnation>,
    rng: SmallRng,
    watches_keyvalue: bool,
    last_summary: ClockTime,
}

impl<H: NodeHandler> NodeActor<H> {
    /// Starts the actor on the current arbiter.
    ///
    /// `events` come from the peer connections. With `watches_keyvalue`, the actor also watches the
    /// key-value service for new versions. `seed` seeds the choice of peers and the timer jitter.
    pub fn launch(
        handler: H,
        source: ListSource,
        sender: PeerSender,
        events: mpsc::Receiver<PeerEvent>,
        watches_keyvalue: bool,
        seed: u64,
    ) -> actix::Addr<NodeActor<H>> {
        NodeActor::create(|context| {
            context.add_stream(unfold(events, |mut events| async move {
                events.recv().await.map(|event| (event, events))
            }));
            let mut rng = SmallRng::seed_from_u64(seed);
            let replicator = ListReplicator::start(clock::now(), watches_keyvalue, &mut rng);
            NodeActor {
                handler,
                replicator,
                source,
                sender,
                peers: Vec::new(),
                rng,
                watches_keyvalue,
                last_summary: ClockTime::ZERO,
            }
        })
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = clock::now();
        let effects = self.replicator.on_timer(now, &mut self.rng);
        self.run_effects(effects, context);
        if now.since(self.last_summary) >= SUMMARY_INTERVAL {
            self.last_summary = now;
            for peer in self.peers.choose_multiple(&mut self.rng, PEERS_PER_SUMMARY) {
                self.sender.send(peer.node, PeerMessage::Summary(self.replicator.summary()));
            }
        }
        self.handler.tick(now);
    }

    fn run_effects(&mut self, effects: Vec<ReplicationEffect>, context: &mut Context<Self>) {
        for effect in effects {
            match effect {
                ReplicationEffect::Send { to, message } => {
                    self.sender.send(to, PeerMessage::Lists(message));
                }
                ReplicationEffect::Activate(version) => {
                    self.handler.activate(self.replicator.replica().snapshot());
                    log::info!(version = version.number, digest:% = version.digest; "lists active");
                }
                ReplicationEffect::ReadKeyValue => self.read_lists(context),
                ReplicationEffect::WriteBack { version, revision } => {
                    self.write_back(version, revision, context);
                }
                ReplicationEffect::Conflict { kept, dropped } => {
                    log::error!(
                        number = kept.number, kept:% = kept.digest, dropped:% = dropped.digest;
                        "two list documents have the same version number"
                    );
                }
            }
        }
    }

    fn read_lists(&mut self, context: &mut Context<Self>) {
        let source = self.source.clone();
        let held = self.replicator.replica().version();
        let address = context.address();
        context.spawn(
            async move {
                match source.read(&held).await {
                    Ok(reports) => {
                        address.do_send(KeyValueReports(reports));
                    }
                    Err(error) => {
                        log::warn!(error:% = format!("{error:#}"); "failed to read the lists");
                    }
                }
            }
            .into_actor(self),
        );
    }

    fn write_back(&mut self, version: ListVersion, revision: i64, context: &mut Context<Self>) {
        let source = self.source.clone();
        let snapshot = self.replicator.replica().snapshot().clone();
        context.spawn(
            async move {
                match source.write_back(&snapshot, revision).await {
                    Ok(written) => {
                        log::warn!(
                            version = version.number, written;
                            "restored the lists in the key-value service"
                        );
                    }
                    Err(error) => {
                        log::warn!(
                            error:% = format!("{error:#}");
                            "failed to restore the lists in the key-value service"
                        );
                    }
                }
            }
            .into_actor(self),
        );
    }

    fn start_watch(&mut self, context: &mut Context<Self>) {
        let source = self.source.clone();
        let address = context.address();
        context.spawn(
            async move {
                loop {
                    watch_changes(&source, &address).await;
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                }
            }
            .into_actor(self),
        );
    }

    fn update_peers(&mut self) {
        let nodes = self.peers.iter().map(|peer| peer.node).collect();
        self.replicator.set_peers(nodes);
    }
}

async fn watch_changes<H: NodeHandler>(source: &ListSource, address: &actix::Addr<NodeActor<H>>) {
    let mut stream = match source.client().watch_prefix(CHANGE_PREFIX, 0, WATCH_IDLE_TIMEOUT).await
    {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!(error:% = error; "failed to watch the lists");
            return;
        }
    };
    // Reads changes made between the last read and the start of the watch.
    address.do_send(ReadLists);
    loop {
        match stream.next().await {
            Ok(batch) => address.do_send(KeyValueReports(decode_changes(&batch))),
            Err(error) => {
                log::warn!(error:% = error; "watch of the lists ended");
                return;
            }
        }
    }
}

fn decode_changes(batch: &WatchBatch) -> Vec<KeyValueReport> {
    let values = batch.changes.iter().filter_map(|change| match change {
        KeyChange::Put(value) => Some(value),
        KeyChange::Deleted(_) => None,
    });
    values
        .filter_map(|value| match decode_stored(value) {
            Ok(delta) => Some(KeyValueReport::Change(Box::new(delta))),
            Err(error) => {
                log::error!(
                    error:% = format!("{error:#}"); "failed to decode a change from the watch"
                );
                None
            }
        })
        .collect()
}

#[derive(Message)]
#[rtype(result = "()")]
struct KeyValueReports(Vec<KeyValueReport>);

#[derive(Message)]
#[rtype(result = "()")]
struct ReadLists;

impl<H: NodeHandler> Actor for NodeActor<H> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, NodeActor::tick);
        if self.watches_keyvalue {
            self.start_watch(context);
        }
    }
}

impl<H: NodeHandler> StreamHandler<PeerEvent> for NodeActor<H> {
    fn handle(&mut self, event: PeerEvent, context: &mut Context<Self>) {
        let now = clock::now();
        match event {
            PeerEvent::Joined { peer, role } => {
                log::info!(node = peer.node.0, incarnation = peer.incarnation.0; "peer joined");
                self.peers.retain(|known| known.node != peer.node);
                self.peers.push(peer);
                self.update_peers();
                self.sender.send(peer.node, PeerMessage::Summary(self.replicator.summary()));
                self.handler.peer_joined(now, peer, role);
            }
            PeerEvent::Left { peer } => {
                log::info!(node = peer.node.0, incarnation = peer.incarnation.0; "peer left");
                self.peers.retain(|known| *known != peer);
                self.update_peers();
                self.handler.peer_left(now, peer);
            }
            PeerEvent::Received { peer, message: PeerMessage::Lists(message), .. } => {
                let effects = self.replicator.on_message(now, peer.node, message, &mut self.rng);
                self.run_effects(effects, context);
            }
            PeerEvent::Received { peer, message: PeerMessage::Summary(summary), .. } => {
                let effects = self.replicator.on_summary(now, peer.node, summary);
                self.run_effects(effects, context);
            }
            PeerEvent::Received { peer, message, .. } => {
                self.handler.peer_message(now, peer, message)
            }
        }
    }

    fn finished(&mut self, context: &mut Context<Self>) {
        context.stop();
    }
}

impl<H: NodeHandler> Handler<KeyValueReports> for NodeActor<H> {
    type Result = ();

    fn handle(&mut self, reports: KeyValueReports, context: &mut Context<Self>) {
        for report in reports.0 {
            let effects = self.replicator.on_key_value_report(report, &mut self.rng);
            self.run_effects(effects, context);
        }
    }
}

impl<H: NodeHandler> Handler<ReadLists> for NodeActor<H> {
    type Result = ();

    fn handle(&mut self, _: ReadLists, context: &mut Context<Self>) {
        self.read_lists(context);
    }
}
