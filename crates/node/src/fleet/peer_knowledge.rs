//! Reads from other nodes what the platform's store does not hold: crash records that were not written
//! yet, entries of the operator that a restored store lacks, the software versions of servers that are
//! gone, and which servers have said that they leave.

use std::{rc::Rc, time::Duration};

use carobvane_core::traffic::{CrashReport, SoftwareReport};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    adapter::{PlatformAdapter, StoreItem},
    clock,
    fleet::peers,
    node::{Node, NodeState},
    server::{crashes, server_signals},
    store::store_changes,
};

/// Time between two reads of other nodes while some are wanted.
const PEER_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Number of other nodes that are read after the start, and after the store was away. One of them may
/// have started just now.
const PEER_READS: u32 = 2;

/// What a node knows beyond the platform's store.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct PeerKnowledge {
    /// Crashes of requests and prompt parts.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Entries of the operator that were in force when the store was restored without them.
    #[serde(default)]
    pub lost_entries: Vec<StoreItem>,
    /// Software versions of the servers of all services.
    #[serde(default)]
    pub software: SoftwareReport,
    /// Servers that have said that they leave: the instance name, and the start of the incarnation in Unix
    /// milliseconds.
    #[serde(default)]
    pub leaving: Vec<(String, u64)>,
}

impl PeerKnowledge {
    /// Collects what this node knows.
    pub fn of_node(state: &NodeState) -> PeerKnowledge {
        let lost_entries = state.lost_entries.values().cloned().collect();
        let software = state.streams.report(clock::now());
        let leaving = state.registry.leaving_notices().all();
        let leaving = leaving.map(|(instance, start)| (instance.to_string(), start)).collect();
        PeerKnowledge { crashes: state.crashes.reports(), lost_entries, software, leaving }
    }
}

/// Reads other nodes after the start and after the store was away, until the process ends.
pub async fn read_peers<A: PlatformAdapter>(node: Rc<Node>) {
    let mut reads_left = PEER_READS;
    let mut was_away = false;
    loop {
        sleep(PEER_READ_INTERVAL).await;
        let is_away = node.state.borrow().is_store_away();
        if is_away != was_away {
            was_away = is_away;
            reads_left = PEER_READS;
        }
        if reads_left == 0 {
            continue;
        }
        match peers::read_knowledge(&node).await {
            Ok(Some(knowledge)) => {
                crashes::apply_copy(&node, &knowledge.crashes);
                store_changes::apply_lost_entries::<A>(&node, knowledge.lost_entries);
                let now = clock::now();
                let state = &mut *node.state.borrow_mut();
                state.streams.on_told(now, &knowledge.software);
                for (instance, started_at_ms) in &knowledge.leaving {
                    server_signals::apply_leaving(state, instance, *started_at_ms);
                }
                reads_left -= 1;
            }
            Ok(None) => {}
            Err(cause) => log::debug!(cause:% = cause; "failed to read another node's knowledge"),
        }
    }
}
