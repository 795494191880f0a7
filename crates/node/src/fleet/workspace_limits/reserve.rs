//! Obtains the tokens of a request before it is sent to a server, and gives them back if no server runs it.

use std::{rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    plans::workspace_limit::{PurchaseStep, TokenReceipt, WorkspaceId},
    traffic::{RouteRule, WorkspaceSpec},
};
use tokio::{sync::Notify, time::timeout};

use super::exchange::dispatch;
use crate::{adapter::RequestInfo, client::local_response::LocalResponse, clock, node::Node};

/// Retry hint for a request of a workspace of whose limit no home can be asked.
const NO_HOME_RETRY: Duration = Duration::from_millis(300);
/// Shortest retry hint for a request over the limit.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// A purchase in progress. It is abandoned if the request ends before it is complete.
struct OpenPurchase<'a> {
    node: &'a Node,
    number: u64,
    wake: Rc<Notify>,
}

impl<'a> OpenPurchase<'a> {
    fn begin(node: &'a Node, workspace: WorkspaceId, amount: f64, latest: ClockTime) -> Self {
        let rng = &mut node.state.borrow_mut().rng;
        let number = node.limits.limiter.borrow_mut().begin(workspace, amount, latest, rng);
        let wake = Rc::new(Notify::new());
        node.limits.waiting.borrow_mut().insert(number, wake.clone());
        OpenPurchase { node, number, wake }
    }

    /// Waits for the last step.
    async fn finish(&self) -> (PurchaseStep, String) {
        loop {
            let now = clock::now();
            let (step, answers) = self.node.limits.limiter.borrow_mut().advance(now, self.number);
            dispatch(self.node);
            let PurchaseStep::Wait(until) = step else { return (step, answers) };
            // A permit is kept if an answer has come already.
            let left = until.since(clock::now()).max(Duration::from_micros(100));
            let _woken = timeout(left, self.wake.notified()).await;
        }
    }
}

impl Drop for OpenPurchase<'_> {
    fn drop(&mut self) {
        self.node.limits.waiting.borrow_mut().remove(&self.number);
        self.node.limits.limiter.borrow_mut().abandon(self.number);
        dispatch(self.node);
    }
}

/// Obtains the tokens of a request, if its workspace has a limit. The request may wait for them as long
/// as it can still meet its target latency.
///
/// # Errors
///
/// Fails with the response to the client if the workspace is over its limit, or no home answers.
pub async fn reserve(
    node: &Node,
    info: &RequestInfo,
    workspace: Option<&WorkspaceSpec>,
    rule: &RouteRule,
    response_due: ClockTime,
) -> Result<TokenReceipt, LocalResponse> {
    let Some(workspace) = workspace else { return Ok(TokenReceipt::default()) };
    let id = WorkspaceId::from_name(&workspace.name);
    let Some(limit) = node.limits.limiter.borrow().limit(id).copied() else {
        return Ok(TokenReceipt::default());
    };
    let amount = limit.charge(&info.prompt);
    let now = clock::now();
    let latest = now + (rule.target_latency / 2).min(response_due.since(now) / 2);
    let (step, answers) = OpenPurchase::begin(node, id, amount, latest).finish().await;
    let name = workspace.name.clone();
    let retry = match step {
        PurchaseStep::Admitted(receipt) => {
            metrics::counter!("carobvane_workspace_used_total", "workspace" => name)
                .increment(amount.ceil() as u64);
            return Ok(receipt);
        }
        PurchaseStep::Refused(wait) => Some(wait.max(MIN_RETRY)),
        PurchaseStep::Unanswered | PurchaseStep::Wait(_) => None,
    };
    metrics::counter!("carobvane_workspace_rejections_total", "workspace" => name).increment(1);
    log::info!(
        request = info.request_id, workspace = workspace.name, unit = limit.unit.label(),
        tokens = amount, answers = answers, over_limit = retry.is_some(),
        retry_ms = retry.unwrap_or(NO_HOME_RETRY).as_millis() as u64;
        "refused a request by the limit of its workspace"
    );
    Err(match retry {
        Some(wait) => LocalResponse::OverLimit(wait),
        None => LocalResponse::NotRun("workspace_limit_unknown", NO_HOME_RETRY),
    })
}

/// Gives back the tokens of a request that no server has run or will run.
pub fn give_back(node: &Node, receipt: &mut TokenReceipt) {
    node.limits.limiter.borrow_mut().give_back(std::mem::take(receipt));
    dispatch(node);
}
