//! Follows the platform's store and applies what it says.
//!
//! A few nodes, the watchers, follow all keys with a watch and tell the others of each change, since
//! every watch that waits costs a call with each change. The others only look now and then whether
//! a notice was lost. While the store does not answer, a node asks others for their copies: the
//! store may turn away one node and serve the rest.

use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    rendezvous::rendezvous_score,
    traffic::{BackendServer, RegistryChange, ServerListing},
};
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    members::{HOLDER_KEY, MemberBook, MemberRecord, OWN_PREFIX},
    node::{Node, NodeState},
    notices::{self, NodeNotice},
    peers,
    store::{CALL_TIME, StoreClient, StoreFailure},
    wire::{FleetFact, NodeWire, StoreCall, StoreEvent, StoreItem, StoreReply},
};

/// Longest wait of a watch: a connection that fell silent is noticed after this.
const WATCH_TIME: Duration = Duration::from_millis(2_400);
/// Time beyond the wait after which a watch has failed.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Nodes that watch the store for all.
const WATCHERS: usize = 3;
/// Part of the time in which a configuration must be in force after which a node that does not
/// watch looks for changes that it was not told of.
const CATCH_UP_SHARE: f64 = 0.7;
/// Pause until a lost notice is looked for: another watcher's may fill the gap.
const GAP_MIN: Duration = Duration::from_millis(100);
const GAP_MAX: Duration = Duration::from_millis(300);
/// Wait of such a look.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Pause after changes have come, so that those that follow closely come with one more call.
const GATHER_TIME: Duration = Duration::from_millis(200);
/// Shortest pause after a failed call.
const PAUSE_MIN: Duration = Duration::from_millis(80);
/// Longest pause after a failed call.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// Items of a whole reading are taken as this much older, since requests wait before they begin.
const READ_AGE: Duration = Duration::from_secs(2);
/// Time between two readings of another node's copy while the store does not answer.
const PEER_READ_TIME: Duration = Duration::from_millis(400);

/// A copy of the platform's items, from which other nodes may start.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct StoreMirror {
    /// Revision up to which the items are complete.
    pub revision: u64,
    /// Items by key.
    pub items: BTreeMap<String, StoreItem>,
}

/// Follows the store until the process ends.
pub async fn follow<W: NodeWire>(node: Rc<Node>, store: Rc<StoreClient<W>>) {
    let mut complete = false;
    loop {
        let result = match complete {
            true if is_watcher(&node) => watch(&node, &store, WATCH_TIME).await,
            true => {
                let wait = node.settings.bounds.apply_time.mul_f64(CATCH_UP_SHARE);
                if timeout(wait, node.catch_up_wake.notified()).await.is_ok() {
                    let pause = node.state.borrow_mut().rng.random_range(GAP_MIN..GAP_MAX);
                    sleep(pause).await;
                    if node.state.borrow().mirror.revision >= node.told_revision.get() {
                        continue;
                    }
                }
                watch(&node, &store, CATCH_UP_WAIT).await
            }
            false => read_all(&node, &store).await,
        };
        match result {
            Ok(whole) => {
                node.on_store(true);
                complete = whole;
            }
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to follow the store");
                node.on_store(false);
                let pause = node.state.borrow_mut().rng.random_range(PAUSE_MIN..PAUSE_MAX);
                sleep(pause).await;
            }
        }
    }
}

/// Whether this node is one of those that watch the store. All nodes rank the live nodes alike.
pub fn is_watcher(node: &Node) -> bool {
    rank(node) < WATCHERS
}

/// Whether this node is the first of the watchers.
pub fn is_first_watcher(node: &Node) -> bool {
    rank(node) == 0
}

/// Position of this node among the live ones: strong links first, since a watcher sends to all.
fn rank(node: &Node) -> usize {
    let state = node.state.borrow();
    let place = |link_mbps: u32, name: &str| (link_mbps, rendezvous_score(name.as_bytes(), 0));
    let own = place(node.settings.link_mbps, &node.settings.name);
    let live = state.members.live();
    live.filter(|member| place(member.link_mbps, &member.name) > own).count()
}

/// Applies the changes of a revision that a watcher has told of, if none is missing before it.
pub fn apply_change<W: NodeWire>(node: &Rc<Node>, after: u64, events: Vec<StoreEvent>) {
    let known = node.state.borrow().mirror.revision;
    let Some(revision) = events.first().map(StoreEvent::revision) else { return };
    if revision <= known {
        return;
    }
    if known < after {
        catch_up(node, revision);
        return;
    }
    for event in events {
        apply_event::<W>(node, event, Duration::ZERO);
    }
    node.state.borrow_mut().mirror.revision = revision;
}

/// Reads the store soon if a change is missing.
pub fn catch_up(node: &Rc<Node>, revision: u64) {
    if node.state.borrow().mirror.revision < revision {
        node.told_revision.set(node.told_revision.get().max(revision));
        node.catch_up_wake.notify_one();
    }
}

/// Tells the other nodes of changes that follow the revision `after`.
fn tell_changes(node: &Rc<Node>, mut after: u64, events: &[StoreEvent]) {
    for group in events.chunk_by(|a, b| a.revision() == b.revision()) {
        let Some(revision) = group.first().map(StoreEvent::revision) else { continue };
        let notice = NodeNotice::Changed { after, events: group.to_vec() };
        if notices::fits(&notice) {
            node.tell_nodes(notice);
        } else {
            node.tell_nodes(NodeNotice::Behind { revision });
        }
        after = revision;
    }
}

/// Reads copies of other nodes whenever the store does not answer.
pub async fn follow_peers<W: NodeWire>(node: Rc<Node>) {
    loop {
        sleep(PEER_READ_TIME).await;
        if node.state.borrow().is_store_up() {
            continue;
        }
        let known = node.state.borrow().mirror.revision;
        match peers::read_mirror(&node, known).await {
            Ok(Some(mirror)) if mirror.revision > known => {
                log::info!(revision = mirror.revision, known; "took another node's copy");
                apply_all::<W>(&node, mirror);
            }
            Ok(_) => {}
            Err(cause) => log::debug!(cause:% = cause; "failed to read another node's copy"),
        }
    }
}

async fn read_all<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
) -> Result<bool, StoreFailure> {
    let mut mirror = StoreMirror::default();
    let mut after = None;
    loop {
        let call = StoreCall::Range { prefix: String::new(), after: after.take() };
        let StoreReply::Page { items, more, revision } = store.call(&call, CALL_TIME).await? else {
            return Ok(false);
        };
        // Pages are no snapshot: changes since the first one come again through the watch.
        if mirror.revision == 0 {
            mirror.revision = revision;
        }
        after = items.last().map(|item| item.key.clone());
        mirror.items.extend(items.into_iter().map(|item| (item.key.clone(), item)));
        if !more || after.is_none() {
            break;
        }
    }
    if mirror.revision >= node.state.borrow().mirror.revision {
        apply_all::<W>(node, mirror);
    }
    Ok(true)
}

async fn watch<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    wait: Duration,
) -> Result<bool, StoreFailure> {
    let after = node.state.borrow().mirror.revision;
    let call = StoreCall::Watch { prefix: String::new(), after, wait };
    match store.call(&call, wait + WATCH_SLACK).await? {
        StoreReply::Events { events, revision } => {
            // What ended before the store came back must be known when its events are applied.
            node.on_store(true);
            let tells = wait == WATCH_TIME;
            let gathers = tells && !events.is_empty();
            if tells {
                tell_changes(node, after, &events);
            }
            for event in events {
                apply_event::<W>(node, event, Duration::ZERO);
            }
            {
                let mirror = &mut node.state.borrow_mut().mirror;
                mirror.revision = mirror.revision.max(revision);
            }
            if gathers {
                sleep(GATHER_TIME).await;
            }
            Ok(true)
        }
        StoreReply::HistoryLost => {
            log::warn!(after; "the store's history is gone; reading everything again");
            Ok(false)
        }
        _ => Ok(false),
    }
}

/// Applies a whole reading; keys that it lacks are gone.
fn apply_all<W: NodeWire>(node: &Rc<Node>, mirror: StoreMirror) {
    let known: Vec<String> = node.state.borrow().mirror.items.keys().cloned().collect();
    let present: HashSet<&String> = mirror.items.keys().collect();
    let gone: Vec<String> = known.into_iter().filter(|key| !present.contains(key)).collect();
    for key in gone {
        apply_event::<W>(
            node,
            StoreEvent::Removed { key, revision: mirror.revision },
            Duration::ZERO,
        );
    }
    // An item may have been written long before it is read as a whole; it binds this node from
    // the time on at which the deployment counts it as in touch.
    let age = node.settings.bounds.stable_time + READ_AGE;
    for item in mirror.items.into_values() {
        apply_event::<W>(node, StoreEvent::Put(item), age);
    }
    node.state.borrow_mut().mirror.revision = mirror.revision;
    node.duty_wake.notify_one();
}

/// Applies a change that may be as old as `age`.
fn apply_event<W: NodeWire>(node: &Rc<Node>, event: StoreEvent, age: Duration) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    match event {
        StoreEvent::Put(item) => {
            let known = state.mirror.items.get(&item.key).map_or(0, |known| known.revision);
            if item.revision <= known {
                return;
            }
            if item.key.starts_with(OWN_PREFIX) {
                apply_own(node, state, &item);
            } else {
                apply_fact(node, state, now - age, W::read_fact(&item.key, &item.value));
            }
            state.mirror.items.insert(item.key.clone(), item);
        }
        StoreEvent::Removed { key, revision } => {
            let known = state.mirror.items.get(&key).map_or(0, |known| known.revision);
            if revision <= known {
                return;
            }
            state.mirror.items.remove(&key);
            if MemberBook::is_member_key(&key) {
                log::info!(key = key; "node unlisted");
                state.members.unlist(now, &key);
                if key == MemberRecord::key(&node.settings.name) {
                    node.listing_wake.notify_one();
                }
            } else if key == HOLDER_KEY {
                node.duty_wake.notify_one();
            } else if let Some(instance) = W::server_key(&key) {
                let gone = state.roster.on_listing_removed(now, instance);
                log::info!(instance = instance, gone = gone.is_some(), revision; "server unlisted");
                if let Some(server) = gone {
                    forget_server(node, state, server);
                }
            }
        }
    }
}

fn apply_own(node: &Rc<Node>, state: &mut NodeState, item: &StoreItem) {
    if !MemberBook::is_member_key(&item.key) {
        node.duty_wake.notify_one();
        return;
    }
    match serde_json::from_slice::<MemberRecord>(&item.value) {
        Ok(record) => {
            log::info!(name = record.name, address:% = record.callers; "node listed");
            state.members.list(record);
        }
        Err(cause) => log::warn!(key = item.key, cause:% = cause; "failed to read a node's record"),
    }
}

fn apply_fact(node: &Rc<Node>, state: &mut NodeState, since: ClockTime, fact: FleetFact) {
    match fact {
        FleetFact::Config(config) => {
            let version = config.version;
            let in_force = state.routes.version();
            let taken = state.routes.apply(*config);
            log::info!(version, in_force:? = in_force, taken; "configuration received");
        }
        FleetFact::BadConfig(cause) => log::error!(cause = cause; "failed to read a configuration"),
        FleetFact::Weights { model, version } => {
            if state.planner.weights.announce(since, &model, version) {
                log::info!(model = model, version = version.0; "weights named");
            }
            node.duty_wake.notify_one();
        }
        FleetFact::Server { listing: Some(listing), .. } => list_server(node, state, *listing),
        FleetFact::Server { instance, listing: None, problem } => {
            log::warn!(instance = instance, problem = problem; "failed to read a server's entry");
            if let Some(server) = state.roster.remove(&instance) {
                forget_server(node, state, server);
            }
        }
        FleetFact::Other => {}
    }
}

fn list_server(node: &Rc<Node>, state: &mut NodeState, listing: ServerListing) {
    let before = state.roster.key_of(&listing.instance);
    let instance = listing.instance.clone();
    let held = listing.weights.first().map_or(0, |weights| weights.version.0);
    let held_before = before.and_then(|key| state.roster.get(key)).map_or(0, held_version);
    let change = state.roster.apply_listing(listing);
    match change {
        RegistryChange::Added(key) => {
            if let Some(before) = before {
                forget_server(node, state, before);
            }
            let server = state.roster.get(key);
            let service = server.map_or("", |server| server.listing.service.as_str());
            log::info!(instance = instance, service = service, weights = held; "server listed");
        }
        RegistryChange::Updated(key) => {
            if let Some(server) = state.roster.get_mut(key) {
                // A load that has ended shows in the entry.
                if held != held_before {
                    server.loading_until = ClockTime::ZERO;
                }
                let standing = server.availability;
                log::info!(instance = instance, standing:? = standing, weights = held; "server changed");
            }
        }
        RegistryChange::Unchanged(_) => {}
    }
    node.duty_wake.notify_one();
}

fn held_version(server: &BackendServer) -> u64 {
    server.listing.weights.first().map_or(0, |weights| weights.version.0)
}

/// Drops what belongs to a server life that has ended.
pub fn forget_server(
    node: &Rc<Node>,
    state: &mut NodeState,
    server: carobvane_core::ids::ServerKey,
) {
    node.pool.forget(server);
    state.planner.cache.remove_server(server);
}
