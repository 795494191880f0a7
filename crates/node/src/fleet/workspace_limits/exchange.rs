//! Sends and receives the notices about limits of workspaces.

use std::{net::SocketAddr, rc::Rc};

use carobvane_core::{
    plans::workspace_limit::{LimitMessage, NodeName},
    rendezvous::rendezvous_score,
};

use crate::{
    clock,
    fleet::{
        node_notice::{HomeMessage, NodeNotice},
        notice_transport,
    },
    node::Node,
};

/// Applies a notice of another node.
pub fn receive(node: &Rc<Node>, from: SocketAddr, notice: NodeNotice) {
    let message = match notice {
        NodeNotice::TokensWanted(ask) => LimitMessage::Ask(ask),
        NodeNotice::TokensAnswered(answer) => LimitMessage::Answer(answer),
        NodeNotice::TokensUnused(unused) => LimitMessage::Return(unused),
        NodeNotice::HomeCheck(HomeMessage::Asked(check)) => LimitMessage::Check(check),
        NodeNotice::HomeCheck(HomeMessage::Answered(answer)) => LimitMessage::CheckAnswer(answer),
        _ => return,
    };
    if let LimitMessage::Check(_) = message {
        // The sender may have registered since the last look.
        node.limits.sync_members(clock::now(), &node.state.borrow());
    }
    let from = name_of(node, from);
    apply(node, from, &message);
    dispatch(node);
}

/// Sends what the limiter has queued. What is for this node itself is applied at once.
pub fn dispatch(node: &Node) {
    loop {
        let messages = node.limits.limiter.borrow_mut().take_messages();
        if messages.is_empty() {
            return;
        }
        for (to, message) in messages {
            if to == node.limits.own {
                apply(node, to, &message);
                continue;
            }
            let address = node.limits.addresses.borrow().get(&to).copied();
            notice_transport::send_to(node, address, &notice_of(message));
        }
    }
}

fn apply(node: &Node, from: NodeName, message: &LimitMessage) {
    let purchase = node.limits.limiter.borrow_mut().on_message(clock::now(), from, message);
    let waiting = node.limits.waiting.borrow();
    if let Some(wake) = purchase.and_then(|number| waiting.get(&number)) {
        wake.notify_one();
    }
}

/// Name of the node with an address. A node that this one does not know gets its answer all the same.
fn name_of(node: &Node, address: SocketAddr) -> NodeName {
    let mut addresses = node.limits.addresses.borrow_mut();
    let known = addresses.iter().find(|(_, known)| **known == address).map(|(name, _)| *name);
    known.unwrap_or_else(|| {
        let name = NodeName(rendezvous_score(address.to_string().as_bytes(), 1));
        addresses.insert(name, address);
        name
    })
}

fn notice_of(message: LimitMessage) -> NodeNotice {
    match message {
        LimitMessage::Ask(ask) => NodeNotice::TokensWanted(ask),
        LimitMessage::Answer(answer) => NodeNotice::TokensAnswered(answer),
        LimitMessage::Return(unused) => NodeNotice::TokensUnused(unused),
        LimitMessage::Check(check) => NodeNotice::HomeCheck(HomeMessage::Asked(check)),
        LimitMessage::CheckAnswer(answer) => NodeNotice::HomeCheck(HomeMessage::Answered(answer)),
    }
}
