//! Finds out whether the store of KV cache answers.
//!
//! An engine that is told to fetch from a store that is down waits for it, and a store that comes
//! back is empty. One node asks it and tells the others.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    channel::HttpChannel,
    fleet,
    node::Node,
    notices::{self, NodeNotice},
    store::build_request,
    wire::{CacheFeed, NodeWire},
};

/// Time between two questions.
const ASK_TIME: Duration = Duration::from_millis(700);
/// Time after which the store does not answer.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Most bytes of an answer.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Watches the store of KV cache until the process ends.
pub async fn watch<W: NodeWire>(node: Rc<Node>) {
    let mut since = 0;
    let mut channel = None;
    let mut misses = 0;
    loop {
        sleep(ASK_TIME).await;
        if !fleet::is_first_watcher(&node) {
            channel = None;
            continue;
        }
        let Some(life) = ask::<W>(&node, &mut channel, since).await else {
            misses += 1;
            if misses > 1 {
                tell(&node, false, 0);
            }
            continue;
        };
        misses = 0;
        since = life.next;
        tell(&node, true, life.epoch);
    }
}

async fn ask<W: NodeWire>(
    node: &Rc<Node>,
    channel: &mut Option<HttpChannel>,
    since: u64,
) -> Option<CacheFeed> {
    let address = node.state.borrow().routes.cache_store()?;
    let mut used = match channel.take().filter(HttpChannel::is_ready) {
        Some(kept) => kept,
        None => HttpChannel::open(address, ANSWER_TIME).await.ok()?,
    };
    let request = build_request(W::write_cache_events(since), address);
    let answer = used.call(request, ANSWER_TIME, ANSWER_BYTES).await.ok()?;
    *channel = Some(used);
    W::read_cache_events(answer.status(), answer.body())
}

fn tell(node: &Rc<Node>, up: bool, epoch: u64) {
    let notice = NodeNotice::CacheStore { up, epoch };
    notices::apply(node, notice.clone());
    node.tell_nodes(notice);
}
