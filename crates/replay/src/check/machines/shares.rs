//! Checks that the fleet's use of a plan never exceeds the plan's limit in any window.
//!
//! Node 0 keeps the lists and distributes them; the other nodes are entries. A new version changes
//! the limits of the plan and may add an entry, so that units move between entries that apply
//! different versions.

use std::{fmt, sync::Arc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
    lists::{EntryVm, ListDocument, PlanEntry},
    plans::{
        LimitKind, LimiterEffect, LimiterMessage, PlanId, PlanLimiter, PlanLimits, PlanReservation,
    },
};
use rand::Rng;

use crate::check::{CheckedMachine, StepContext};

/// Number of entries; they are the nodes from 1 on.
const ENTRIES: usize = 4;
/// Limit of concurrent streams. It is the same in every version, so that the check of open streams
/// does not depend on which versions were applied.
const STREAM_LIMIT: u64 = 5;
/// Tokens that each request uses.
const REQUEST_TOKENS: u64 = 10;
/// Interval at which an entry requests the current lists from node 0.
const LISTS_REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Name of the only plan.
const PLAN_NAME: &str = "gold";

/// Records the versions that the entries applied and the requests that they admitted.
pub struct SharesMachine {
    bug: Option<SharesBug>,
    /// Version 1 of the lists, which the first incarnation of every entry starts with.
    initial_lists: Option<ListCopy>,
    /// Limits of each version, from version 1 on: requests per second, tokens per minute.
    limits: Vec<[u64; 2]>,
    /// Version that each entry applies; 0 while it has no lists.
    active_versions: [u64; ENTRIES + 1],
    /// The lowest version that any entry applied, with the scheduler's time from which on it was
    /// the lowest.
    lowest_versions: Vec<(ClockTime, u64)>,
    /// The scheduler's time of each admitted request.
    admission_times: Vec<ClockTime>,
    /// Streams that have not ended, with the entry incarnation that serves them.
    open_streams: Vec<(NodeIncarnation, PlanReservation)>,
    incarnations: [u64; ENTRIES + 1],
}

/// Bugs that can be planted in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharesBug {
    /// A restarted entry uses its own units at once, although its earlier incarnation may have used
    /// or lent them.
    NoQuarantine,
    /// A lender adds one unit to each grant and keeps using that unit itself.
    LendAndKeep,
    /// An entry confirms versions that it has not applied.
    FalseConfirm,
}

/// A version of the lists. Its debug form omits the document to keep traces short.
#[derive(Clone)]
pub struct ListCopy {
    version: u64,
    document: Arc<ListDocument>,
}

impl fmt::Debug for ListCopy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}", self.version)
    }
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum SharesMessage {
    /// Between entries: a message of the limiter.
    Limiter(LimiterMessage),
    /// Requests the lists that the receiver holds.
    RequestLists,
    /// The sender's lists, as an answer to a request or because they are new.
    Lists(ListCopy),
}

/// State of node 0 or of an entry.
pub struct SharesNode {
    lists: Option<ListCopy>,
    /// `None` at node 0, which admits no requests.
    limiter: Option<PlanLimiter>,
    lists_requested_at: ClockTime,
    /// Time on the node's clock at its last tick.
    now: ClockTime,
}

impl SharesMachine {
    fn send_messages(
        &self,
        effects: Vec<LimiterEffect>,
        context: &mut StepContext<'_, SharesMessage>,
    ) {
        for effect in effects {
            let LimiterEffect::Send { to, mut message } = effect else { continue };
            match (&mut message, self.bug) {
                (LimiterMessage::LoanGrants { grants, .. }, Some(SharesBug::LendAndKeep)) => {
                    let granted = grants.iter_mut().filter(|grant| grant.amount > 0);
                    granted.for_each(|grant| grant.amount += 1);
                }
                (
                    LimiterMessage::Confirm { reduced_version, active_version, .. },
                    Some(SharesBug::FalseConfirm),
                ) => {
                    (*reduced_version, *active_version) = (u64::MAX, 0);
                }
                _ => {}
            }
            context.send(to.0 as usize, SharesMessage::Limiter(message));
        }
    }

    fn adopt_lists(
        &mut self,
        node: &mut SharesNode,
        lists: ListCopy,
        context: &mut StepContext<'_, SharesMessage>,
    ) {
        let held = node.lists.as_ref().map_or(0, |held| held.version);
        let Some(limiter) = node.limiter.as_mut().filter(|_| lists.version > held) else { return };
        limiter.apply(context.now, lists.version, &lists.document);
        self.record_version(context.index, lists.version, context.global_now);
        node.lists = Some(lists);
    }

    /// Records the version that an entry applies, and the lowest version of all entries.
    fn record_version(&mut self, index: usize, version: u64, now: ClockTime) {
        self.active_versions[index] = version;
        let running = self.active_versions[1..].iter().copied().filter(|version| *version > 0);
        self.lowest_versions.push((now, running.min().unwrap_or(1)));
    }

    /// Returns the highest limit of all versions since the lowest one that an entry applied at
    /// `from` or later.
    fn highest_limit(&self, kind: usize, from: ClockTime) -> u64 {
        let before = self.lowest_versions.iter().rposition(|(at, _)| *at <= from).unwrap_or(0);
        let lowest =
            self.lowest_versions[before..].iter().map(|(_, version)| *version).min().unwrap_or(1);
        let amounts = self.limits[(lowest as usize).saturating_sub(1)..].iter();
        amounts.map(|amounts| amounts[kind]).max().unwrap_or(0)
    }

    /// Ends a random number of the entry's streams.
    fn end_streams(
        &mut self,
        limiter: &mut PlanLimiter,
        context: &mut StepContext<'_, SharesMessage>,
    ) {
        let own = |(incarnation, _): &(NodeIncarnation, PlanReservation)| {
            *incarnation == context.incarnation
        };
        while context.rng.random_ratio(1, 3)
            && let Some(position) = self.open_streams.iter().position(own)
        {
            let (_, reservation) = self.open_streams.remove(position);
            limiter.settle(context.now, reservation, REQUEST_TOKENS);
        }
    }

    /// Checks the use in the window that ends at the last admitted request.
    fn check_window(&self, kind: usize, window: Duration, units: u64) -> Result<(), String> {
        let Some(&end) = self.admission_times.last() else { return Ok(()) };
        let in_window = self.admission_times.iter().rev().take_while(|at| end.since(**at) < window);
        let used = in_window.count() as u64 * units;
        let limit = self.highest_limit(kind, end - window);
        if used > limit {
            return Err(format!(
                "{used} used in {window:?}, limit {limit} {}",
                LimitKind::ALL[kind]
            ));
        }
        Ok(())
    }
}

/// Returns random limits: requests per second, tokens per minute. Their ranges are chosen so that
/// either limit may be reached first.
fn random_limits(context: &mut StepContext<'_, SharesMessage>) -> [u64; 2] {
    let requests = context.rng.random_range(4..13);
    let max_requests_per_minute = if context.rng.random() { 40 } else { 4_000 };
    [
        requests,
        context.rng.random_range(max_requests_per_minute / 4..max_requests_per_minute)
            * REQUEST_TOKENS,
    ]
}

fn document(entries: usize, requests: u64, tokens: u64) -> ListDocument {
    let limits = PlanLimits {
        requests_per_second: requests,
        tokens_per_minute: tokens,
        concurrent_streams: STREAM_LIMIT,
    };
    let entry = |node: usize| EntryVm {
        node: NodeId(node as u32),
        http_address: String::new(),
        peer_address: String::new(),
        data_centre: String::new(),
    };
    ListDocument {
        plans: [(PLAN_NAME.to_string(), PlanEntry { limits, weight: 1 })].into(),
        entries: (1..=entries).map(|node| (format!("e{node}"), entry(node))).collect(),
        ..ListDocument::default()
    }
}

impl CheckedMachine for SharesMachine {
    type Node = SharesNode;
    type Message = SharesMessage;
    type Bug = SharesBug;

    const NAME: &'static str = "shares";
    const BUGS: &'static [(&'static str, SharesBug)] = &[
        ("no-quarantine", SharesBug::NoQuarantine),
        ("lend-and-keep", SharesBug::LendAndKeep),
        ("false-confirm", SharesBug::FalseConfirm),
    ];
    const NODES: usize = ENTRIES + 1;
    const FAULT_FREE_NODES: usize = 1;
    const MAX_ADVANCE_MICROS: u64 = 3_000_000;

    fn create(bug: Option<SharesBug>) -> SharesMachine {
        SharesMachine {
            bug,
            initial_lists: None,
            limits: Vec::new(),
            active_versions: [0; ENTRIES + 1],
            lowest_versions: Vec::new(),
            admission_times: Vec::new(),
            open_streams: Vec::new(),
            incarnations: [0; ENTRIES + 1],
        }
    }

    fn start(
        &mut self,
        context: &mut StepContext<'_, SharesMessage>,
        _previous: Option<SharesNode>,
    ) -> SharesNode {
        let (index, incarnation) = (context.index, context.incarnation);
        self.incarnations[index] = incarnation.incarnation.0;
        if index == 0 {
            let amounts = random_limits(context);
            self.limits.push(amounts);
            let document = Arc::new(document(2, amounts[0], amounts[1]));
            let lists = Some(ListCopy { version: 1, document });
            self.initial_lists = lists.clone();
            let (lists_requested_at, now) = (context.now, context.now);
            return SharesNode { lists, limiter: None, lists_requested_at, now };
        }
        // A crashed process loses its streams.
        self.open_streams.retain(|(served, _)| served.node != incarnation.node);
        self.record_version(index, 0, context.global_now);
        let first = incarnation.incarnation == IncarnationId(1);
        // Before its first incarnation an entry has used no units, so it needs no quarantine.
        let quarantine_over = first || self.bug == Some(SharesBug::NoQuarantine);
        let started = if quarantine_over { ClockTime::ZERO } else { context.now };
        let mut node = SharesNode {
            lists: None,
            limiter: Some(PlanLimiter::start(started, incarnation)),
            lists_requested_at: context.now,
            now: context.now,
        };
        match self.initial_lists.clone().filter(|_| first) {
            Some(lists) => self.adopt_lists(&mut node, lists, context),
            None => {
                let peer = context.rng.random_range(1..Self::NODES);
                context.send(0, SharesMessage::RequestLists);
                context.send(peer, SharesMessage::RequestLists);
            }
        }
        node
    }

    fn receive(
        &mut self,
        node: &mut SharesNode,
        from: usize,
        message: SharesMessage,
        context: &mut StepContext<'_, SharesMessage>,
    ) {
        match message {
            SharesMessage::RequestLists => {
                if let Some(lists) = &node.lists {
                    context.send(from, SharesMessage::Lists(lists.clone()));
                }
            }
            SharesMessage::Lists(lists) => {
                self.adopt_lists(node, lists, context);
            }
            SharesMessage::Limiter(message) => {
                let Some(limiter) = &mut node.limiter else { return };
                let effects = limiter.on_message(context.now, NodeId(from as u32), message);
                self.send_messages(effects, context);
            }
        }
    }

    fn tick(&mut self, node: &mut SharesNode, context: &mut StepContext<'_, SharesMessage>) {
        node.now = context.now;
        let Some(limiter) = &mut node.limiter else { return };
        self.end_streams(limiter, context);
        let effects = limiter.on_timer(context.now);
        self.send_messages(effects, context);
        if context.now.since(node.lists_requested_at) > LISTS_REQUEST_INTERVAL {
            node.lists_requested_at = context.now;
            context.send(0, SharesMessage::RequestLists);
        }
    }

    fn perform_action(
        &mut self,
        node: &mut SharesNode,
        context: &mut StepContext<'_, SharesMessage>,
    ) {
        let Some(limiter) = &mut node.limiter else {
            let Some(lists) = &node.lists else { return };
            if context.rng.random_ratio(3, 4) {
                return;
            }
            let entries = (lists.document.entries.len() + 1).min(ENTRIES);
            let amounts = random_limits(context);
            self.limits.push(amounts);
            let document = Arc::new(document(entries, amounts[0], amounts[1]));
            let lists = ListCopy { version: lists.version + 1, document };
            for peer in 1..Self::NODES {
                context.send(peer, SharesMessage::Lists(lists.clone()));
            }
            node.lists = Some(lists);
            return;
        };
        let plan = PlanId::from_name(PLAN_NAME);
        for _ in 0..context.rng.random_range(1..16) {
            let stream = context.rng.random_ratio(1, 4);
            if let Ok(reservation) = limiter.try_reserve(context.now, plan, REQUEST_TOKENS, stream)
            {
                self.admission_times.push(context.global_now);
                if stream {
                    self.open_streams.push((context.incarnation, reservation));
                }
            }
        }
        self.end_streams(limiter, context);
    }

    fn check_invariant(&self, nodes: &[Option<SharesNode>], _now: ClockTime) -> Result<(), String> {
        self.check_window(0, LimitKind::Requests.window(), 1)?;
        self.check_window(1, LimitKind::Tokens.window(), REQUEST_TOKENS)?;
        let open = self
            .open_streams
            .iter()
            .filter(|(incarnation, _)| nodes[incarnation.node.0 as usize].is_some());
        match open.count() as u64 {
            open if open > STREAM_LIMIT => {
                Err(format!("{open} streams open, limit {STREAM_LIMIT}"))
            }
            _ => Ok(()),
        }
    }

    fn check_after_settling(
        &self,
        nodes: &[Option<SharesNode>],
        _now: ClockTime,
    ) -> Result<(), String> {
        let latest = self.limits.len() as u64;
        if self.active_versions[1..].iter().any(|version| *version != latest) {
            return Err(format!(
                "versions {:?} after settling, latest {latest}",
                &self.active_versions[1..]
            ));
        }
        let plan = PlanId::from_name(PLAN_NAME);
        let usable = nodes.iter().flatten().filter_map(|node| {
            let mut limiter = node.limiter.clone()?;
            Some(limiter.usage(node.now, plan).cap[0])
        });
        let (usable, amount) = (usable.sum::<u64>(), self.limits[self.limits.len() - 1][0]);
        if usable != amount {
            return Err(format!("{usable} of {amount} request units are usable after settling"));
        }
        Ok(())
    }
}
