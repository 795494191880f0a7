//! Requests at backend servers, counted until they end.

use std::rc::Rc;

use carobvane_core::{
    ids::ServerKey,
    rendezvous::rendezvous_score,
    traffic::{PlacementChoice, PromptPart, ServerLoad, cache_salt},
};

use crate::{
    node::Node,
    notices::{self, NodeNotice},
    request::RequestJob,
};

/// Counts a request at a server until it ends, and tells the other nodes.
pub struct FlightGuard {
    node: Rc<Node>,
    server: ServerKey,
    instance: String,
    /// Number of the request among all nodes; `None` once its prompt is read.
    reading: Option<u64>,
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
        job: &RequestJob,
        choice: &PlacementChoice,
        instance: &str,
    ) -> Self {
        let prompt = &job.call.prompt;
        let tokens = prompt.prompt_tokens.saturating_sub(choice.cached_tokens);
        let number = rendezvous_score(job.call.request_id.as_bytes(), job.history.attempts.into());
        let instance = instance.to_string();
        if let Some(server) = node.state.borrow_mut().roster.get_mut(choice.server) {
            server.in_flight += 1;
        }
        let reading = choice.weights.map(|version| {
            let notice = NodeNotice::Sent {
                instance: instance.clone(),
                request: number,
                tokens,
                salt: cache_salt(job.cache_scope, version),
                parts: prompt.shared_parts().to_vec(),
            };
            notices::apply(node, notice.clone());
            node.tell_nodes(notice);
            number
        });
        FlightGuard { node: node.clone(), server: choice.server, instance, reading }
    }

    /// The answer has begun, or the request has ended without one.
    pub fn on_answer(
        &mut self,
        load: Option<ServerLoad>,
        salt: u64,
        parts: &[PromptPart],
        saves: bool,
    ) {
        let reading = self.reading.take();
        if reading.is_none() && load.is_none() {
            return;
        }
        let instance = self.instance.clone();
        let parts = parts.to_vec();
        let request = reading.unwrap_or(0);
        let notice = NodeNotice::Answered { instance, request, load, salt, parts, saves };
        notices::apply(&self.node, notice.clone());
        self.node.tell_nodes(notice);
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.on_answer(None, 0, &[], false);
        if let Some(server) = self.node.state.borrow_mut().roster.get_mut(self.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }
}
