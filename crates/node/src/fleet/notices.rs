//! Applies the notices that nodes send to each other about backend servers and store changes.

use std::{rc::Rc, time::Duration};

use carobvane_core::traffic::{
    BLAME_DELAY, CacheConfidence, DEFAULT_PRIORITY, HEARD_NOTICE_AGE, StoreId, WatchReport,
};

use crate::{
    adapter::PlatformAdapter,
    client::stream_origin,
    clock,
    fleet::{node_notice::NodeNotice, notice_transport::NoticeSender, workspace_limits},
    node::Node,
    server::{
        cache_events, cache_store, crashes, links, server_limits, server_signals, server_speed,
        silent_servers,
    },
    store::store_sync,
};

/// A server was alive this long before a notice that it responded, at the latest. Longer than any
/// batch delay and the time on the way.
const NOTICE_AGE: Duration = Duration::from_millis(250);

/// Applies a notice from another node or from this one.
pub fn apply(node: &Rc<Node>, notice: NodeNotice) {
    let now = clock::now();
    if let NodeNotice::Cached { instance, parts, held } = &notice {
        return cache_events::apply_notice(node, instance, parts, *held);
    }
    let state = &mut *node.state.borrow_mut();
    match notice {
        NodeNotice::Loading { instance, longest } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.loading_until = now + longest;
            }
        }
        NodeNotice::Released { instance } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.loading_until = now;
            }
        }
        NodeNotice::Loaded { instance, model, version } => {
            if let Some(key) = state.registry.key_of(&instance) {
                state.update_weights(key, &model, version);
            }
        }
        NodeNotice::Sent { instance, request, tokens, salt, parts, priority, kv_tokens } => {
            let Some(key) = state.registry.key_of(&instance) else { return };
            if let Some(server) = state.registry.get_mut(key) {
                let priority = priority.unwrap_or(DEFAULT_PRIORITY);
                server.prefill_backlog.add(now, request, tokens, priority);
                server.kv_memory.add_peer(now, request, kv_tokens.unwrap_or(tokens.into()));
            }
            state.planner.cache.on_sent(now, key, request, salt, &parts);
            if let Some(last) = parts.last() {
                state.planner.heat.on_request(now, last.id ^ salt);
            }
        }
        NodeNotice::CacheStore { up, epoch } => {
            if let Some(store) = state.planner.stores.first() {
                cache_store::apply_report(state, store, up, epoch);
            }
        }
        NodeNotice::FurtherStore { store, up, epoch } => {
            cache_store::apply_report(state, StoreId(store), up, epoch);
        }
        NodeNotice::Answered { instance, request, load, salt, parts, saves, saved_to, speed } => {
            let Some(key) = state.registry.key_of(&instance) else { return };
            let Some(server) = state.registry.get_mut(key) else { return };
            let own_tokens = server.prefill_backlog.remove(request);
            if parts.is_empty() && speed.is_none() {
                server.kv_memory.remove_peer(request);
            }
            if let Some(load) = load {
                server.health.on_load_report(now, load);
                silent_servers::apply_heard(node, state, key, now - HEARD_NOTICE_AGE);
                state.crashes.on_server_alive(key, now - NOTICE_AGE);
            }
            state.planner.cache.record(now, key, salt, &parts, CacheConfidence::Confirmed);
            state.planner.cache.on_ended(key, request);
            let first = state.planner.stores.first().filter(|_| saves);
            if let Some(store) = saved_to.map(StoreId).or(first) {
                state.planner.cache.record_stored(now, store, salt, &parts);
            }
            if let Some(sample) = speed {
                server_speed::apply_sample(state, key, sample, own_tokens);
            }
        }
        NodeNotice::Leaving { instance, started_at_ms } => {
            server_signals::apply_leaving(state, &instance, started_at_ms);
        }
        NodeNotice::Silent { instance } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                if !server.health.is_suspected(now) {
                    log::info!(server = instance; "another node got no response from a server");
                }
                metrics::counter!("carobvane_silent_servers_total", "source" => "peer")
                    .increment(1);
                server.health.on_peer_no_response(now);
                server.health.on_connection_lost(now);
            }
        }
        NodeNotice::StreamOrigin { stream, software: Some(software) } => {
            state.streams.record(now, stream, &software);
        }
        NodeNotice::Brittle { service, limit } => {
            server_limits::apply_brittle(node, state, &service, limit);
        }
        NodeNotice::InFlight { instance, sender, count } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.brittle.on_told_in_flight(now, sender, count);
            }
        }
        NodeNotice::Rejected { instance, waiting } => {
            if let Some(server) = state.registry.get_instance_mut(&instance) {
                server.brittle.on_rejected(now, waiting);
            }
        }
        NodeNotice::Unlinked { name } => state.members.on_unlinked(now, name),
        // Store changes are applied by `store_sync`, cache events above, queries and what depends on the
        // sender by `receive_notice`.
        NodeNotice::Changed { .. }
        | NodeNotice::Behind { .. }
        | NodeNotice::UpToDate { .. }
        | NodeNotice::Cached { .. }
        | NodeNotice::StreamWanted { .. }
        | NodeNotice::Reachability { .. }
        | NodeNotice::LinksWanted
        | NodeNotice::Links { .. }
        | NodeNotice::StreamOrigin { software: None, .. }
        | NodeNotice::TokensWanted(_)
        | NodeNotice::TokensAnswered(_)
        | NodeNotice::TokensUnused(_)
        | NodeNotice::HomeCheck(_) => {}
        NodeNotice::Pressure(report) => state.admission.on_report(now, report),
        NodeNotice::Crashes(report) => crashes::apply_notice(node, state, &report),
        NodeNotice::Limited { instance, sender, statement, sent } => {
            server_limits::apply_notice(node, state, &instance, statement, (sender, sent));
        }
    }
}

/// Applies a notice of another node, or answers it.
pub fn receive_notice<A: PlatformAdapter>(node: &Rc<Node>, from: NoticeSender, notice: NodeNotice) {
    silent_servers::on_peer_heard(node);
    match notice {
        NodeNotice::Reachability { instance, unheard } => {
            silent_servers::apply_notice(node, from, &instance, unheard);
        }
        NodeNotice::Silent { instance } => {
            silent_servers::apply_notice(node, from, &instance, Some(BLAME_DELAY));
            apply(node, NodeNotice::Silent { instance });
        }
        NodeNotice::StreamWanted { stream, service } => {
            stream_origin::answer(node, from, stream, &service);
        }
        NodeNotice::LinksWanted => drop(actix_rt::spawn(links::answer(node.clone(), from))),
        NodeNotice::Links { reaches } => links::on_answer(node, from.address, reaches),
        NodeNotice::StreamOrigin { stream, software } => {
            stream_origin::on_answer(node, from.address, stream, software);
        }
        NodeNotice::Changed { after, events } => {
            store_sync::apply_announced_change::<A>(node, after, events)
        }
        NodeNotice::UpToDate { watcher, revision, checked_at, told_at } => {
            let report = WatchReport { watcher, checked_at, told_at };
            store_sync::apply_up_to_date(node, revision, &report);
        }
        NodeNotice::Behind { revision } => store_sync::schedule_catch_up(node, revision),
        NodeNotice::TokensWanted(_)
        | NodeNotice::TokensAnswered(_)
        | NodeNotice::TokensUnused(_)
        | NodeNotice::HomeCheck(_) => workspace_limits::receive(node, from.address, notice),
        notice => {
            count_request(node, &notice);
            apply(node, notice);
        }
    }
}

/// Counts a request of another node. Nodes tell when they send a prompt, and when a plain service has
/// responded.
fn count_request(node: &Node, notice: &NodeNotice) {
    let (instance, tokens) = match notice {
        NodeNotice::Sent { instance, tokens, .. } => (instance, *tokens),
        NodeNotice::Answered { instance, request: 0, .. } => (instance, 0),
        _ => return,
    };
    let state = &mut *node.state.borrow_mut();
    let Some(server) = state.registry.key_of(instance) else { return };
    let Some(server) = state.registry.get(server) else { return };
    state.planner.rates.on_peer_request(clock::now(), &server.listing.service, tokens);
}
