//! Probing: directly, then through two others, then suspicion, then death.

use std::{collections::BTreeMap, time::Duration};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    LeaveNotice, LeavingServers, MemberChange, MemberEffect, MemberMessage, MemberStatus,
    MemberTable, ProbePayload, VmState,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a direct answer; above the round trip between the farthest regions.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for an answer through others, after the direct timeout.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a suspect to refute, for each tenfold of members; a statement needs several probe
/// rounds to reach the suspect and its refutation as many to come back.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Members asked to probe in this node's place.
const INDIRECT_PROBES: usize = 2;
/// Members that a notice of a leaving server is passed to at once. With 4, about 98 % of the
/// members on_piggyback it within a few round trips; the others from the next probes.
const NOTICE_FANOUT: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeTimer {
    Next,
    Direct(u32),
    Indirect(u32),
    Suspicion(MemberChange),
}

#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    target: NodeId,
    /// The node that asked for the probe, with its number.
    requester: Option<(NodeId, u32)>,
}

/// The membership part of one node.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    table: MemberTable,
    leaving: LeavingServers,
    payload: ProbePayload,
    timers: TimerQueue<ProbeTimer>,
    /// Probes without an answer. Bounded: each is removed by its timer.
    pending_probes: BTreeMap<u32, PendingProbe>,
    sequence: u32,
    /// Members still to be probed in this round, so that each is probed once in a round.
    round: Vec<NodeId>,
}

impl FailureDetector {
    /// Starts a life. The first probe is jittered, so that nodes do not probe in step.
    pub fn start(now: ClockTime, life: NodeIncarnation, rng: &mut impl Rng) -> FailureDetector {
        let mut timers = TimerQueue::new();
        let jitter = rng.random_range(0..PROBE_INTERVAL.as_micros() as u64);
        timers.schedule(now + Duration::from_micros(jitter), ProbeTimer::Next);
        FailureDetector {
            table: MemberTable::new(life),
            leaving: LeavingServers::new(),
            payload: ProbePayload::default(),
            timers,
            pending_probes: BTreeMap::new(),
            sequence: 0,
            round: Vec::new(),
        }
    }

    /// What is believed of the members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Backend servers that leave.
    pub fn leaving(&self) -> &LeavingServers {
        &self.leaving
    }

    /// Replaces the listed nodes.
    pub fn set_listed_nodes(&mut self, listed: &[NodeId]) {
        self.table.set_listed_nodes(listed);
    }

    /// Sets the small state for the next probes.
    pub fn set_payload(&mut self, payload: ProbePayload) {
        self.payload = payload;
    }

    /// Presents this node as draining.
    pub fn drain(&mut self) {
        self.table.drain();
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime, rng: &mut impl Rng) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                ProbeTimer::Next => {
                    self.timers.schedule(now + PROBE_INTERVAL, ProbeTimer::Next);
                    if let Some(target) = self.next_target(rng) {
                        self.probe(now, target, None, &mut effects);
                    }
                }
                ProbeTimer::Direct(sequence) => {
                    self.probe_indirectly(now, sequence, rng, &mut effects)
                }
                ProbeTimer::Indirect(sequence) => {
                    if let Some(probe) = self.pending_probes.remove(&sequence) {
                        self.suspect(now, probe.target, &mut effects);
                    }
                }
                ProbeTimer::Suspicion(suspected) => {
                    if self.table.get(suspected.node) == Some(&suspected) {
                        let dead = MemberChange { status: MemberStatus::Dead, ..suspected };
                        self.merge(now, dead, &mut effects);
                    }
                }
            }
        }
        effects
    }

    /// Handles a message of another node.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: MemberMessage,
        rng: &mut impl Rng,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        match message {
            MemberMessage::Probe { sequence, incarnation, payload, changes, notices } => {
                self.on_piggyback(now, from, incarnation, payload, &changes, &mut effects);
                self.on_leave_notices(now, &notices, rng, &mut effects);
                let message = MemberMessage::Answer {
                    sequence,
                    incarnation: self.table.own().incarnation,
                    payload: self.payload,
                    changes: self.table.take_changes(),
                    notices: self.leaving.take_notices(),
                };
                effects.push(MemberEffect::Send { to: from, message });
            }
            MemberMessage::Answer { sequence, incarnation, payload, changes, notices } => {
                self.on_piggyback(now, from, incarnation, payload, &changes, &mut effects);
                self.on_leave_notices(now, &notices, rng, &mut effects);
                if self.pending_probes.get(&sequence).is_some_and(|probe| probe.target == from) {
                    let probe = self.pending_probes.remove(&sequence).expect("found above");
                    if let Some((to, sequence)) = probe.requester {
                        let message = MemberMessage::ProbeReport { sequence, target: from };
                        effects.push(MemberEffect::Send { to, message });
                    }
                }
            }
            MemberMessage::ProbeRequest { sequence, target } => {
                self.probe(now, target, Some((from, sequence)), &mut effects);
            }
            MemberMessage::ProbeReport { sequence, target } => {
                if self.pending_probes.get(&sequence).is_some_and(|probe| probe.target == target) {
                    self.pending_probes.remove(&sequence);
                }
            }
            MemberMessage::Leaving(notice) => {
                self.on_leave_notices(now, &[notice], rng, &mut effects)
            }
        }
        effects
    }

    /// A call of this node to `node` failed: it is probed at once.
    pub fn on_call_failure(&mut self, now: ClockTime, node: NodeId) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let probed = self
            .pending_probes
            .values()
            .any(|probe| probe.target == node && probe.requester.is_none());
        if !probed && self.table.get(node).is_some_and(|known| known.status == MemberStatus::Live) {
            self.probe(now, node, None, &mut effects);
        }
        effects
    }

    /// The VM list's word on a member. The list lags: a VM that it calls live may be dead, and
    /// one that it no longer names is only suspected, since a new VM may have the same number.
    pub fn on_vm_state(
        &mut self,
        now: ClockTime,
        node: NodeId,
        state: VmState,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        match state {
            VmState::Live => {}
            VmState::Leaving => {
                if let Some(&known) = self.table.get(node) {
                    self.merge(now, MemberChange { draining: true, ..known }, &mut effects);
                }
            }
            VmState::Unlisted => self.suspect(now, node, &mut effects),
        }
        effects
    }

    /// A backend server leaves, by the VM list or its own word to this node.
    pub fn on_server_leaving(
        &mut self,
        now: ClockTime,
        notice: LeaveNotice,
        rng: &mut impl Rng,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        self.on_leave_notices(now, &[notice], rng, &mut effects);
        effects
    }

    fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        if self.round.is_empty() {
            // Dead members stay in the round: a healed partition is found by them.
            self.round = self.table.others().map(|change| change.node).collect();
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    fn probe(
        &mut self,
        now: ClockTime,
        target: NodeId,
        requester: Option<(NodeId, u32)>,
        effects: &mut Vec<MemberEffect>,
    ) {
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        self.pending_probes.insert(sequence, PendingProbe { target, requester });
        self.timers.schedule(now + DIRECT_TIMEOUT, ProbeTimer::Direct(sequence));
        let mut changes = self.table.take_changes();
        // A member that is believed dead or suspect must be told so that it can refute it.
        let known = self.table.get(target).copied();
        if let Some(known) = known.filter(|known| known.status != MemberStatus::Live) {
            changes.retain(|change| change.node != target);
            changes.push(known);
        }
        let message = MemberMessage::Probe {
            sequence,
            incarnation: self.table.own().incarnation,
            payload: self.payload,
            changes,
            notices: self.leaving.take_notices(),
        };
        effects.push(MemberEffect::Send { to: target, message });
    }

    fn probe_indirectly(
        &mut self,
        now: ClockTime,
        sequence: u32,
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(&PendingProbe { target, requester }) = self.pending_probes.get(&sequence) else {
            return;
        };
        if requester.is_some() {
            self.pending_probes.remove(&sequence);
            return;
        }
        let others: Vec<NodeId> = self.table.reachable().filter(|node| *node != target).collect();
        for &to in others.choose_multiple(rng, INDIRECT_PROBES) {
            let message = MemberMessage::ProbeRequest { sequence, target };
            effects.push(MemberEffect::Send { to, message });
        }
        self.timers.schedule(now + INDIRECT_TIMEOUT, ProbeTimer::Indirect(sequence));
    }

    fn suspect(&mut self, now: ClockTime, node: NodeId, effects: &mut Vec<MemberEffect>) {
        if let Some(&known) = self.table.get(node) {
            self.merge(now, MemberChange { status: MemberStatus::Suspect, ..known }, effects);
        }
    }

    fn on_piggyback(
        &mut self,
        now: ClockTime,
        from: NodeId,
        incarnation: IncarnationId,
        payload: ProbePayload,
        changes: &[MemberChange],
        effects: &mut Vec<MemberEffect>,
    ) {
        if let Some(change) =
            self.table.observe_incarnation(NodeIncarnation { node: from, incarnation })
        {
            effects.push(MemberEffect::Changed(change));
        }
        effects.push(MemberEffect::PayloadReceived { from, payload });
        for change in changes {
            self.merge(now, *change, effects);
        }
    }

    fn merge(&mut self, now: ClockTime, change: MemberChange, effects: &mut Vec<MemberEffect>) {
        let Some(merged) = self.table.merge(change) else { return };
        if merged.status == MemberStatus::Suspect {
            let digits = self.table.reachable_count().ilog10() + 1;
            let due = now + SUSPICION_TIMEOUT * digits;
            self.timers.schedule(due, ProbeTimer::Suspicion(merged));
        }
        effects.push(MemberEffect::Changed(merged));
    }

    fn on_leave_notices(
        &mut self,
        now: ClockTime,
        notices: &[LeaveNotice],
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        for notice in notices {
            if !self.leaving.merge(now, *notice, self.table.reachable_count()) {
                continue;
            }
            effects.push(MemberEffect::ServerLeaving(*notice));
            let others: Vec<NodeId> = self.table.reachable().collect();
            effects.extend(
                others
                    .choose_multiple(rng, NOTICE_FANOUT)
                    .map(|&to| MemberEffect::Send { to, message: MemberMessage::Leaving(*notice) }),
            );
        }
    }
}
