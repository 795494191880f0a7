//! Keeps this node listed in the platform's store, and takes the order duty when it is free.
//!
//! One lease carries both the node's record and the holder's key, so that one renewal keeps both.

use std::{cell::Cell, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, orders::LeaseEvent, traffic::DutyHandover};
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::{
    clock,
    members::{HANDOVER_KEY, HOLDER_KEY, LEASE_TIME, MemberRecord},
    node::{Node, NodeState},
    store::{CALL_TIME, StoreClient, StoreFailure},
    wire::{NodeWire, StoreCall, StoreReply, StoreWrite},
};

/// Time between two renewals: one may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_millis(900);
/// Longest pause before a free duty is taken, so that nodes do not all try at once.
const TAKE_JITTER: Duration = Duration::from_millis(250);
/// Longest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

/// The lease of this node.
#[derive(Debug, Default)]
pub struct NodeLease {
    lease: Cell<Option<u64>>,
    /// When the last successful grant or renewal was sent.
    sent_at: Cell<ClockTime>,
}

/// Keeps the node listed until the process ends.
pub async fn keep_listed<W: NodeWire>(
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    lease: Rc<NodeLease>,
) {
    let mut due = Instant::now();
    loop {
        // Woken early when the record was removed although this node lives.
        let _woken = timeout_at(due, node.listing_wake.notified()).await;
        if node.draining.get() {
            return;
        }
        let result = match lease.lease.get() {
            Some(id) if is_listed(&node) => renew(&node, &store, &lease, id).await,
            _ => enlist(&node, &store, &lease).await,
        };
        let pause = match result {
            Ok(()) => RENEW_TIME,
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to keep this node listed");
                node.on_store(false);
                node.state.borrow_mut().rng.random_range(PAUSE / 3..PAUSE)
            }
        };
        due = Instant::now() + pause;
    }
}

/// Ends the lease, so that the node's record and duty are free at once. A holder first writes
/// which servers it ordered lately, so that its successor need not wait.
pub async fn release<W: NodeWire>(node: &Rc<Node>, store: &StoreClient<W>, lease: &NodeLease) {
    let Some(id) = lease.lease.take() else { return };
    let handover = {
        let state = &mut *node.state.borrow_mut();
        let handover = state.rollout.hand_over(clock::now(), &state.roster);
        state.rollout.on_lease(clock::now(), LeaseEvent::Lost);
        handover
    };
    if let Some(value) = handover.and_then(|handover| serde_json::to_vec(&handover).ok()) {
        let write = StoreWrite { key: HANDOVER_KEY.to_string(), value, lease: None };
        let call = StoreCall::Transact { expected: Vec::new(), writes: vec![write] };
        if let Err(cause) = store.call(&call, CALL_TIME).await {
            log::warn!(cause:% = cause; "failed to hand the order duty over");
        }
    }
    if let Err(cause) = store.call(&StoreCall::Release { lease: id }, CALL_TIME).await {
        log::warn!(cause:% = cause; "failed to end this node's lease");
    }
}

/// Takes the order duty whenever nobody has it, until the process ends.
pub async fn take_duty<W: NodeWire>(
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    lease: Rc<NodeLease>,
) {
    loop {
        let jitter = node.state.borrow_mut().rng.random_range(Duration::ZERO..TAKE_JITTER);
        sleep_until(Instant::now() + jitter + TAKE_JITTER / 4).await;
        if node.draining.get() {
            return;
        }
        adopt(&node, &lease);
        let free = {
            let state = node.state.borrow();
            state.is_store_up()
                && state.mirror.revision > 0
                && !state.mirror.items.contains_key(HOLDER_KEY)
        };
        let Some(id) = lease.lease.get().filter(|_| free) else { continue };
        let write = StoreWrite {
            key: HOLDER_KEY.to_string(),
            value: holder_value(&node, id),
            lease: Some(id),
        };
        let expected = vec![(HOLDER_KEY.to_string(), 0)];
        match store.call(&StoreCall::Transact { expected, writes: vec![write] }, CALL_TIME).await {
            Ok(StoreReply::Written { revision }) => hold(&node, &lease, revision),
            // Another node was first; the watch brings its key.
            Ok(_) => sleep(TAKE_JITTER).await,
            Err(cause) => {
                log::debug!(cause:% = cause; "failed to take the order duty");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Takes a duty that this node's own write brought although its answer was lost.
fn adopt(node: &Rc<Node>, lease: &NodeLease) {
    let Some(id) = lease.lease.get() else { return };
    let created = {
        let state = node.state.borrow();
        let holder = state.mirror.items.get(HOLDER_KEY);
        let own = holder.filter(|item| item.value == holder_value(node, id));
        let lapsed = clock::now().since(lease.sent_at.get()) > LEASE_TIME / 2;
        let holds = state.rollout.fencing(clock::now()).is_some();
        own.filter(|_| !holds && !lapsed).map(|item| item.created)
    };
    if let Some(fencing) = created {
        hold(node, lease, fencing);
    }
}

fn hold(node: &Rc<Node>, lease: &NodeLease, fencing: u64) {
    log::info!(fencing; "took the order duty");
    let now = clock::now();
    let event = LeaseEvent::Acquired { fencing, sent_at: lease.sent_at.get() };
    let state = &mut *node.state.borrow_mut();
    state.rollout.on_lease(now, event);
    if let Some(handover) = state.last_handover() {
        log::info!(from = handover.fencing, ordered = handover.ordered.len(); "took over in order");
        state.rollout.take_over(now, &state.roster, &handover);
    }
    node.duty_wake.notify_one();
}

impl NodeState {
    /// What the last holder left, if it was the last one.
    fn last_handover(&self) -> Option<DutyHandover> {
        let item = self.mirror.items.get(HANDOVER_KEY)?;
        let handover: DutyHandover = serde_json::from_slice(&item.value).ok()?;
        (Some(handover.fencing) == self.last_holder).then_some(handover)
    }
}

/// The lease in the value tells this life's key from that of an earlier one.
fn holder_value(node: &Node, lease: u64) -> Vec<u8> {
    format!("{} {} {lease}", node.settings.name, node.incarnation).into_bytes()
}

fn is_listed(node: &Node) -> bool {
    let state = node.state.borrow();
    // Without a view of the store, the lease alone tells.
    let known = state.mirror.revision > 0 && state.is_store_up();
    !known || state.mirror.items.contains_key(&MemberRecord::key(&node.settings.name))
}

async fn renew<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    lease: &NodeLease,
    id: u64,
) -> Result<(), StoreFailure> {
    let sent_at = clock::now();
    let reply = store.call(&StoreCall::Renew { lease: id }, CALL_TIME).await?;
    node.on_store(true);
    let event = match reply {
        StoreReply::NoLease => {
            log::warn!(lease = id; "this node's lease has ended");
            lease.lease.set(None);
            node.listing_wake.notify_one();
            LeaseEvent::Lost
        }
        _ => {
            lease.sent_at.set(sent_at);
            LeaseEvent::Renewed { sent_at }
        }
    };
    node.state.borrow_mut().rollout.on_lease(clock::now(), event);
    Ok(())
}

async fn enlist<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    lease: &NodeLease,
) -> Result<(), StoreFailure> {
    let lifetime = LEASE_TIME.max(node.settings.bounds.shortest_lease);
    let id = match lease.lease.get() {
        Some(id) => id,
        None => {
            let sent_at = clock::now();
            let reply = store.call(&StoreCall::Grant { lifetime }, CALL_TIME).await?;
            let StoreReply::Leased { lease: id, .. } = reply else { return Ok(()) };
            lease.lease.set(Some(id));
            lease.sent_at.set(sent_at);
            id
        }
    };
    let settings = &node.settings;
    let record = MemberRecord {
        name: settings.name.clone(),
        incarnation: node.incarnation,
        callers: settings.callers,
        peers: settings.peers,
        notices: settings.notices,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let write = StoreWrite { key: MemberRecord::key(&record.name), value, lease: Some(id) };
    let call = StoreCall::Transact { expected: Vec::new(), writes: vec![write] };
    match store.call(&call, CALL_TIME).await? {
        StoreReply::Written { .. } => log::info!(lease = id; "listed this node"),
        reply => {
            log::warn!(lease = id, reply:? = reply; "failed to list this node");
            lease.lease.set(None);
        }
    }
    node.on_store(true);
    Ok(())
}
