//! Finds out the formats of nodes of earlier builds, whose records name none.
//!
//! The answer of a node that is asked what it knows shows its format. Until then it gets only notices
//! that both formats write in the same way.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::future::join_all;
use tokio::time::sleep;

use crate::{fleet::peers, node::Node};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of nodes that are asked in a round.
const MAX_ASKED: usize = 16;

/// Asks nodes of earlier builds until the process ends.
pub async fn find_formats(node: Rc<Node>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        join_all(unknown_nodes(&node).into_iter().map(|asked| find_format(&node, asked))).await;
    }
}

async fn find_format(node: &Node, (name, incarnation, address): (String, u64, SocketAddr)) {
    match peers::read_legacy_format(address).await {
        Ok(format) => {
            log::info!(name = name, format:? = format; "found the format of a node of an earlier build");
            node.state.borrow_mut().members.on_format_shown(&name, incarnation, format);
        }
        Err(cause) => {
            log::debug!(name = name, cause:% = cause; "failed to find the format of a node of an earlier build");
        }
    }
}

fn unknown_nodes(node: &Node) -> Vec<(String, u64, SocketAddr)> {
    let state = node.state.borrow();
    let others = state.members.receivers().filter(|other| other.format.is_none());
    let records = others.map(|other| other.record);
    let asked = records.filter(|record| record.name != node.settings.name).take(MAX_ASKED);
    asked.map(|record| (record.name.clone(), record.incarnation, record.peer_address)).collect()
}
