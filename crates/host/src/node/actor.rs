//! The actor that runs list replication in a process.

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
    peer::{PeerInput, PeerSender},
};

/// Interval at which due timers are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Peers that get a version summary in each interval. With all of them, 780 nodes would each
/// send 780 messages a second.
const SUMMARY_PEERS: usize = 3;
/// Interval of version summaries to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// A watch without a change for this long is opened again, in case its connection is dead.
const WATCH_IDLE: Duration = Duration::from_secs(60);
/// Pause before a broken watch is opened again.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// What a program does with what its node learns.
pub trait NodeHost: Unpin + 'static {
    /// Puts a version into use.
    fn activate(&mut self, snapshot: &ListSnapshot);

    /// A process can be reached.
    fn peer_joined(&mut self, now: ClockTime, life: NodeIncarnation, role: PeerRole);

    /// A process cannot be reached.
    fn peer_left(&mut self, now: ClockTime, life: NodeIncarnation);

    /// Handles a message that is not about lists.
    fn peer_message(&mut self, now: ClockTime, life: NodeIncarnation, message: PeerMessage);

    /// Runs at every tick.
    fn tick(&mut self, now: ClockTime);
}

/// Runs list replication and passes the rest to a [`NodeHost`].
pub struct NodeActor<H> {
    host: H,
    replicator: ListReplicator,
    source: ListSource,
    sender: PeerSender,
    peers: Vec<NodeIncarnation>,
    rng: SmallRng,
    watches: bool,
    last_summary: ClockTime,
}

impl<H: NodeHost> NodeActor<H> {
    /// Starts the actor on the current arbiter.
    pub fn launch(
        host: H,
        source: ListSource,
        sender: PeerSender,
        inputs: mpsc::Receiver<PeerInput>,
        watches: bool,
        seed: u64,
    ) -> actix::Addr<NodeActor<H>> {
        NodeActor::create(|context| {
            context.add_stream(unfold(inputs, |mut inputs| async move {
                inputs.recv().await.map(|input| (input, inputs))
            }));
            let mut rng = SmallRng::seed_from_u64(seed);
            let replicator = ListReplicator::start(clock::now(), watches, &mut rng);
            NodeActor {
                host,
                replicator,
                source,
                sender,
                peers: Vec::new(),
                rng,
                watches,
                last_summary: ClockTime::ZERO,
            }
        })
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = clock::now();
        let effects = self.replicator.on_timer(now, &mut self.rng);
        self.carry_out(effects, context);
        if now.since(self.last_summary) >= SUMMARY_INTERVAL {
            self.last_summary = now;
            for peer in self.peers.choose_multiple(&mut self.rng, SUMMARY_PEERS) {
                self.sender.send(peer.node, PeerMessage::Summary(self.replicator.summary()));
            }
        }
        self.host.tick(now);
    }

    fn carry_out(&mut self, effects: Vec<ReplicationEffect>, context: &mut Context<Self>) {
        for effect in effects {
            match effect {
                ReplicationEffect::Send { to, message } => {
                    self.sender.send(to, PeerMessage::Lists(message));
                }
                ReplicationEffect::Activate(version) => {
                    self.host.activate(self.replicator.replica().snapshot());
                    log::info!(version = version.number, digest:% = version.digest; "lists active");
                }
                ReplicationEffect::ReadKeyValue => self.read_service(context),
                ReplicationEffect::WriteBack { version, revision } => {
                    self.write_back(version, revision, context);
                }
                ReplicationEffect::Conflict { kept, dropped } => {
                    log::error!(
                        number = kept.number, kept:% = kept.digest, dropped:% = dropped.digest;
                        "two list documents have one version number"
                    );
                }
            }
        }
    }

    fn read_service(&mut self, context: &mut Context<Self>) {
        let source = self.source.clone();
        let held = self.replicator.replica().version();
        let address = context.address();
        context.spawn(
            async move {
                match source.read(&held).await {
                    Ok(reports) => {
                        address.do_send(ServiceReports(reports));
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
                        log::warn!(version = version.number, written; "wrote the lists back");
                    }
                    Err(error) => {
                        log::warn!(error:% = format!("{error:#}"); "failed to write the lists back");
                    }
                }
            }
            .into_actor(self),
        );
    }

    fn watch(&mut self, context: &mut Context<Self>) {
        let source = self.source.clone();
        let address = context.address();
        context.spawn(
            async move {
                loop {
                    watch_changes(&source, &address).await;
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            .into_actor(self),
        );
    }

    fn update_peers(&mut self) {
        let nodes = self.peers.iter().map(|life| life.node).collect();
        self.replicator.set_peers(nodes);
    }
}

async fn watch_changes<H: NodeHost>(source: &ListSource, address: &actix::Addr<NodeActor<H>>) {
    let mut stream = match source.client().watch_prefix(CHANGE_PREFIX, 0, WATCH_IDLE).await {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!(error:% = error; "failed to watch the lists");
            return;
        }
    };
    // Covers changes between the last read and the start of the watch.
    address.do_send(ReadLists);
    loop {
        match stream.next().await {
            Ok(batch) => address.do_send(ServiceReports(changes_of(&batch))),
            Err(error) => {
                log::warn!(error:% = error; "watch of the lists broke");
                return;
            }
        }
    }
}

fn changes_of(batch: &WatchBatch) -> Vec<KeyValueReport> {
    let values = batch.changes.iter().filter_map(|change| match change {
        KeyChange::Put(value) => Some(value),
        KeyChange::Deleted(_) => None,
    });
    values
        .filter_map(|value| match decode_stored(value) {
            Ok(delta) => Some(KeyValueReport::Change(Box::new(delta))),
            Err(error) => {
                log::error!(error:% = format!("{error:#}"); "failed to decode a watched change");
                None
            }
        })
        .collect()
}

#[derive(Message)]
#[rtype(result = "()")]
struct ServiceReports(Vec<KeyValueReport>);

#[derive(Message)]
#[rtype(result = "()")]
struct ReadLists;

impl<H: NodeHost> Actor for NodeActor<H> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, NodeActor::tick);
        if self.watches {
            self.watch(context);
        }
    }
}

impl<H: NodeHost> StreamHandler<PeerInput> for NodeActor<H> {
    fn handle(&mut self, input: PeerInput, context: &mut Context<Self>) {
        let now = clock::now();
        match input {
            PeerInput::Joined { life, role } => {
                log::info!(node = life.node.0, incarnation = life.incarnation.0; "peer joined");
                self.peers.retain(|peer| peer.node != life.node);
                self.peers.push(life);
                self.update_peers();
                self.sender.send(life.node, PeerMessage::Summary(self.replicator.summary()));
                self.host.peer_joined(now, life, role);
            }
            PeerInput::Left { life } => {
                log::info!(node = life.node.0, incarnation = life.incarnation.0; "peer left");
                self.peers.retain(|peer| *peer != life);
                self.update_peers();
                self.host.peer_left(now, life);
            }
            PeerInput::Received { life, message: PeerMessage::Lists(message), .. } => {
                let effects = self.replicator.on_message(now, life.node, message, &mut self.rng);
                self.carry_out(effects, context);
            }
            PeerInput::Received { life, message: PeerMessage::Summary(summary), .. } => {
                let effects = self.replicator.on_summary(now, life.node, summary);
                self.carry_out(effects, context);
            }
            PeerInput::Received { life, message, .. } => self.host.peer_message(now, life, message),
        }
    }

    fn finished(&mut self, context: &mut Context<Self>) {
        context.stop();
    }
}

impl<H: NodeHost> Handler<ServiceReports> for NodeActor<H> {
    type Result = ();

    fn handle(&mut self, reports: ServiceReports, context: &mut Context<Self>) {
        for report in reports.0 {
            let effects = self.replicator.on_key_value_report(report, &mut self.rng);
            self.carry_out(effects, context);
        }
    }
}

impl<H: NodeHost> Handler<ReadLists> for NodeActor<H> {
    type Result = ();

    fn handle(&mut self, _: ReadLists, context: &mut Context<Self>) {
        self.read_service(context);
    }
}
