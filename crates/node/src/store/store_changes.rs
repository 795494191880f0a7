//! Applies the items of the platform's store, and their changes, to the node.

use std::{rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    traffic::{BackendServer, RegistryChange, ServerListing},
};

use crate::{
    adapter::{FleetEntry, PlatformAdapter, StoreEvent, StoreItem, StoreRevision},
    clock,
    fleet::{
        members::{KEY_PREFIX, LEASE_HOLDER_KEY, MemberRecord, MemberTable},
        workspace_limits,
    },
    node::{Node, NodeState},
    server::{crash_store, crashes},
    store::{
        software_store,
        store_mirror::{BatchError, ChangeBatch, StoreMirror},
    },
};

/// Items of a snapshot count as this much older, since requests wait before they begin.
const SNAPSHOT_AGE: Duration = Duration::from_secs(2);

/// How long the removal of a server's entry is remembered. A copy from which the store is restored is
/// some seconds old.
const REMOVED_ENTRY_LIFETIME: Duration = Duration::from_secs(120);

/// Applies those changes of a batch that this node does not know yet.
pub fn apply_changes<A: PlatformAdapter>(
    node: &Rc<Node>,
    batch: ChangeBatch,
) -> Result<(), BatchError> {
    let complete_to = StoreRevision { number: batch.complete_to, ..batch.after };
    let brought = batch.events.len();
    let events = node.state.borrow().mirror.admit(batch)?;
    if events.len() < brought {
        log::debug!(known = brought - events.len(), complete_to:? = complete_to; "changes of the store are known already");
    }
    for event in events {
        apply_event::<A>(node, event, Duration::ZERO);
    }
    let mirror = &mut node.state.borrow_mut().mirror;
    mirror.revision = mirror.revision.max(complete_to);
    Ok(())
}

/// Applies a snapshot unless this node's copy of the store is newer; keys that the snapshot lacks were
/// removed. Returns whether it was applied.
pub fn apply_snapshot<A: PlatformAdapter>(node: &Rc<Node>, mut snapshot: StoreMirror) -> bool {
    let known = node.state.borrow().mirror.revision;
    if snapshot.revision.era > known.era && known.number > 0 {
        begin_era(node, known, &mut snapshot);
        keep_lost_entries::<A>(node, &snapshot);
    }
    let changes = node.state.borrow().mirror.changes_to(&snapshot);
    let Some(changes) = changes else {
        log::info!(revision:? = snapshot.revision, known:? = known; "ignored an older copy of the store");
        return false;
    };
    // An item may have been written long before the snapshot is read. It binds this node from the
    // time at which the deployment regards the node as connected.
    let age = node.settings.bounds.stable_time + SNAPSHOT_AGE;
    for event in changes {
        let age = if matches!(event, StoreEvent::Put(_)) { age } else { Duration::ZERO };
        apply_event::<A>(node, event, age);
    }
    let state = &mut *node.state.borrow_mut();
    state.mirror.revision = snapshot.revision;
    state.removals.reset(snapshot.revision);
    node.rollout_wake.notify_one();
    true
}

/// Keeps the entries in force that a restored store lacks, for nodes that start before the operator has
/// written them again.
fn keep_lost_entries<A: PlatformAdapter>(node: &Rc<Node>, mirror: &StoreMirror) {
    let state = &mut *node.state.borrow_mut();
    let is_lost = |item: &&StoreItem| {
        let restored = mirror.items.get(&item.key);
        restored.is_none_or(|restored| restored.value != item.value)
    };
    let is_kept = |item: &&StoreItem| {
        let entry = A::decode_entry(&item.key, &item.value);
        matches!(entry, FleetEntry::Config(_) | FleetEntry::Weights { .. })
    };
    let lost = state.mirror.items.values().filter(is_lost).filter(is_kept).cloned();
    let lost: Vec<StoreItem> = lost.collect();
    state.lost_entries.extend(lost.into_iter().map(|item| (item.key.clone(), item)));
}

/// Applies entries that a restored store lacks, from another node. Versions never fall, so an entry
/// that the operator has replaced meanwhile changes nothing.
pub fn apply_lost_entries<A: PlatformAdapter>(node: &Rc<Node>, items: Vec<StoreItem>) {
    let now = clock::now();
    for item in items {
        let state = &mut *node.state.borrow_mut();
        apply_entry(node, state, now, A::decode_entry(&item.key, &item.value));
        state.lost_entries.insert(item.key.clone(), item);
    }
}

/// Prepares for the items of a store that was restored from an older copy. Servers and nodes that wrote
/// their entries after the copy get time to write them again.
fn begin_era(node: &Rc<Node>, known: StoreRevision, mirror: &mut StoreMirror) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    log::warn!(
        before:? = known, now:? = mirror.revision, items = mirror.items.len(),
        known_items = state.mirror.items.len();
        "the store was restored from an older copy"
    );
    metrics::gauge!("carobvane_store_era").set(mirror.revision.era as f64);
    // A server that has ended since the copy does not write its entry again.
    let removed = &state.removed_entries;
    let present = &state.mirror.items;
    mirror.items.retain(|key, _| present.contains_key(key) || !removed.contains_key(key));
    state.registry.on_store_back(now);
    state.members.on_store_back(now);
    for item in state.mirror.items.values_mut() {
        item.revision = 0;
    }
}

/// Applies a change that may be as old as `age`, or older if this node was suspended.
fn apply_event<A: PlatformAdapter>(node: &Rc<Node>, event: StoreEvent, age: Duration) {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    state.on_active(now);
    let age = age.max(state.suspension.max_age(now));
    match event {
        StoreEvent::Put(item) => {
            let known = state.mirror.items.get(&item.key);
            if known.is_some_and(|known| item.revision <= known.revision) {
                return;
            }
            if known.is_some_and(|known| known.revision == 0 && known.value == item.value) {
                // The item is as it was before the store was restored.
                state.mirror.items.insert(item.key.clone(), item);
                return;
            }
            if item.key.starts_with(KEY_PREFIX) {
                apply_own_item(node, state, &item);
            } else {
                apply_entry(node, state, now - age, A::decode_entry(&item.key, &item.value));
            }
            if state.lost_entries.get(&item.key).is_some_and(|lost| lost.value == item.value) {
                state.lost_entries.remove(&item.key);
            }
            state.mirror.items.insert(item.key.clone(), item);
        }
        StoreEvent::Removed { key, revision } => {
            let known = state.mirror.items.get(&key).map_or(0, |known| known.revision);
            if revision <= known {
                return;
            }
            state.check_store_outage(now);
            state.mirror.items.remove(&key);
            state.removals.on_removed(&key, revision);
            if MemberTable::is_member_key(&key) {
                log::info!(key = key; "node no longer registered");
                state.members.mark_removed(now, &key);
                if key == MemberRecord::key(&node.settings.name) {
                    node.registration_wake.notify_one();
                }
            } else if let Some(fingerprint) = crash_store::decode_key(&key) {
                state.crashes.on_stored_removed(fingerprint);
            } else if software_store::is_software_key(&key) {
                software_store::remove_record(node, state, &key);
            } else if key == LEASE_HOLDER_KEY {
                node.rollout_wake.notify_one();
            } else if let Some(instance) = A::instance_of_key(&key) {
                state.removed_entries.retain(|_, at| now.since(*at) < REMOVED_ENTRY_LIFETIME);
                state.removed_entries.insert(key.clone(), now);
                let announced = state.registry.is_leaving(instance);
                let gone = state.registry.on_listing_removed(now, instance);
                log::info!(instance = instance, gone = gone.is_some(), revision; "server entry removed");
                if let Some(server) = gone {
                    if !announced {
                        crashes::record_server_ended(node, state, server);
                    }
                    drop_server_state(node, state, server);
                }
            }
        }
    }
}

fn apply_own_item(node: &Rc<Node>, state: &mut NodeState, item: &StoreItem) {
    if crash_store::is_crash_key(&item.key) {
        match crash_store::decode_record(&item.key, &item.value) {
            Ok(report) => crashes::apply_stored(node, state, &report),
            Err(cause) => {
                log::warn!(key = item.key, cause = cause; "failed to read a crash record")
            }
        }
        return;
    }
    if software_store::is_software_key(&item.key) {
        software_store::apply_record(node, state, item);
        return;
    }
    if !MemberTable::is_member_key(&item.key) {
        node.rollout_wake.notify_one();
        return;
    }
    match serde_json::from_slice::<MemberRecord>(&item.value) {
        Ok(record) => {
            log::info!(name = record.name, address:% = record.client_address; "node registered");
            state.members.add(clock::now(), record);
        }
        Err(cause) => log::warn!(key = item.key, cause:% = cause; "failed to read a node's record"),
    }
}

fn apply_entry(node: &Rc<Node>, state: &mut NodeState, since: ClockTime, fleet_entry: FleetEntry) {
    match fleet_entry {
        FleetEntry::Config(config) => {
            let version = config.version;
            let in_force = state.routes.version();
            workspace_limits::log_problems(&config, in_force);
            let taken = state.routes.apply(*config);
            state.planner.stores.configure(state.routes.cache_stores());
            workspace_limits::on_config(node, state);
            let (engines, stores) = (state.routes.engine_links(), state.routes.store_links());
            state.planner.transfers.configure(engines, stores);
            log::info!(version, in_force:? = in_force, taken; "configuration received");
        }
        FleetEntry::BadConfig(cause) => {
            log::error!(cause = cause; "failed to read a configuration")
        }
        FleetEntry::Weights { model, version } => {
            if state.planner.weights.announce(since, &model, version) {
                log::info!(model = model, version = version.0; "weights named");
            }
            node.rollout_wake.notify_one();
        }
        FleetEntry::Server { listing: Some(listing), .. } => {
            apply_server_listing(node, state, *listing)
        }
        FleetEntry::Server { instance, listing: None, problem } => {
            log::warn!(instance = instance, problem = problem; "failed to read a server's entry");
            if let Some(server) = state.registry.remove(&instance) {
                drop_server_state(node, state, server);
            }
        }
        FleetEntry::Other => {}
    }
}

fn apply_server_listing(node: &Rc<Node>, state: &mut NodeState, listing: ServerListing) {
    let previous = state.registry.key_of(&listing.instance);
    let instance = listing.instance.clone();
    let weights_version = listing.weights.first().map_or(0, |weights| weights.version.0);
    let previous_version =
        previous.and_then(|key| state.registry.get(key)).map_or(0, first_weights_version);
    let announced = state.registry.is_leaving(&instance);
    state.streams.on_listed(clock::now(), &listing.service, listing.software.as_deref());
    let change = state.registry.apply_listing(listing);
    match change {
        RegistryChange::Added(key) => {
            if let Some(previous) = previous {
                if !announced {
                    crashes::record_server_ended(node, state, previous);
                }
                drop_server_state(node, state, previous);
            }
            let server = state.registry.get(key);
            let service = server.map_or("", |server| server.listing.service.as_str());
            let software = server.and_then(|server| server.listing.software.as_deref());
            log::info!(
                instance = instance, service = service, weights = weights_version, software:? = software;
                "server added"
            );
        }
        RegistryChange::Updated(key) => {
            if let Some(server) = state.registry.get_mut(key) {
                // A changed weights version in the entry means that the load has ended.
                if weights_version != previous_version {
                    server.loading_until = ClockTime::ZERO;
                }
                let standing = server.availability;
                log::info!(instance = instance, standing:? = standing, weights = weights_version; "server changed");
            }
        }
        RegistryChange::Unchanged(_) => {}
    }
    node.rollout_wake.notify_one();
    node.software_wake.notify_one();
}

fn first_weights_version(server: &BackendServer) -> u64 {
    server.listing.weights.first().map_or(0, |weights| weights.version.0)
}

/// Drops the connections and the KV cache records of a server incarnation that has ended.
pub fn drop_server_state(
    node: &Rc<Node>,
    state: &mut NodeState,
    server: carobvane_core::ids::ServerKey,
) {
    node.pool.remove(server);
    state.planner.cache.remove_server(server);
}
