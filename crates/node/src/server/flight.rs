//! Counts the requests in flight at backend servers.

use std::rc::Rc;

use carobvane_core::{
    ids::ServerKey,
    rendezvous::rendezvous_score,
    traffic::{PlacementChoice, PromptPart, ServerLoad, SpeedSample, StoreId, cache_salt},
};

use crate::{
    client::request_context::RequestContext,
    clock,
    fleet::{node_notice::NodeNotice, notices},
    node::Node,
};

/// Counts one attempt at a server while it is in flight, and informs the other nodes.
pub struct FlightGuard {
    node: Rc<Node>,
    server: ServerKey,
    instance: String,
    /// Number of the attempt across all nodes; `None` for a request that needs no model weights, or
    /// once its prompt has been processed.
    prefill_number: Option<u64>,
    /// Number of the attempt at an engine.
    kv_number: Option<u64>,
    /// What the response showed of the server's speed.
    pub speed: Option<SpeedSample>,
}

impl std::fmt::Debug for FlightGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FlightGuard").field("instance", &self.instance).finish_non_exhaustive()
    }
}

impl FlightGuard {
    /// Counts a request that is about to be sent.
    pub fn start(
        node: &Rc<Node>,
        context: &RequestContext,
        choice: &PlacementChoice,
        instance: &str,
    ) -> Self {
        let prompt = &context.info.prompt;
        let tokens = prompt.prompt_tokens.saturating_sub(choice.cached_tokens);
        // A stalled stream may have two attempts at the same time; only one of them is counted yet.
        let attempt =
            u64::from(context.history.attempts) << 32 | context.tried_servers.len() as u64;
        let number = rendezvous_score(context.info.request_id.as_bytes(), attempt);
        let instance = instance.to_string();
        change_in_flight(node, choice.server, 1);
        {
            let rates = &mut node.state.borrow_mut().planner.rates;
            rates.on_own_request(clock::now(), &context.service, tokens);
        }
        let kv_tokens = u64::from(prompt.prompt_tokens) + u64::from(prompt.max_output_tokens);
        let prefill_number = choice.weights.map(|version| {
            if let Some(server) = node.state.borrow_mut().registry.get_mut(choice.server) {
                server.kv_memory.add_own(number, kv_tokens);
            }
            let notice = NodeNotice::Sent {
                instance: instance.clone(),
                request: number,
                tokens,
                salt: cache_salt(context.cache_scope.number(), version),
                parts: prompt.shared_parts().to_vec(),
                priority: Some(context.priority()),
                kv_tokens: Some(kv_tokens),
            };
            notices::apply(node, notice.clone());
            node.broadcast(notice);
            number
        });
        FlightGuard {
            node: node.clone(),
            server: choice.server,
            instance,
            prefill_number,
            kv_number: prefill_number,
            speed: None,
        }
    }

    /// Reports that the response has begun, or that the request ended without one. `store` is the
    /// store of KV cache to which the server saves the parts.
    pub fn report(
        &mut self,
        load: Option<ServerLoad>,
        salt: u64,
        parts: &[PromptPart],
        store: Option<StoreId>,
    ) {
        let prefill_number = self.prefill_number.take();
        if prefill_number.is_none() && load.is_none() {
            return;
        }
        let instance = self.instance.clone();
        let parts = parts.to_vec();
        let request = prefill_number.unwrap_or(0);
        let first = self.node.state.borrow().planner.stores.first();
        let saves = store.is_some() && store == first;
        let saved_to = store.filter(|_| !saves).map(|store| store.0);
        // This node has learnt the speed already.
        let answered = |speed| NodeNotice::Answered {
            instance: instance.clone(),
            request,
            load,
            salt,
            parts: parts.clone(),
            saves,
            saved_to,
            speed,
        };
        notices::apply(&self.node, answered(None));
        self.node.broadcast(answered(self.speed.take()));
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.report(None, 0, &[], None);
        if let Some(number) = self.kv_number
            && let Some(server) = self.node.state.borrow_mut().registry.get_mut(self.server)
        {
            server.kv_memory.release_own(clock::now(), number);
        }
        change_in_flight(&self.node, self.server, -1);
    }
}

/// Changes the number of requests in flight at a server, and tells the other nodes if it is brittle.
fn change_in_flight(node: &Node, server: ServerKey, change: i32) {
    let state = &mut *node.state.borrow_mut();
    match change {
        1.. => state.links.on_sent(clock::now()),
        _ => state.links.on_ended(),
    }
    let Some(known) = state.registry.get_mut(server) else { return };
    known.in_flight = known.in_flight.saturating_add_signed(change);
    if known.brittle.is_brittle(clock::now()) {
        let instance = known.listing.instance.clone();
        let (sender, count) = (node.incarnation, known.in_flight);
        node.broadcast(NodeNotice::InFlight { instance, sender, count });
    }
}
