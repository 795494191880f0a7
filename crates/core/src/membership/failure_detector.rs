//! Failure detection: direct probes, then indirect ones, then suspicion, then death.
//!
//! Suspicion precedes death so that a member which is slow, or reachable only through others, can
//! refute it.

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

/// Interval between two probes that a node starts.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for a direct answer; longer than the round trip between the farthest regions.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional time to wait for an answer through other members, after the direct timeout.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which a suspect can refute, multiplied by a factor that grows with the number of
/// members: the suspicion needs several probe rounds to reach the suspect and the refutation as
/// many to come back, and both take longer in a larger fleet.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of members that are asked to probe an unresponsive member on this node's behalf.
const INDIRECT_PROBES: usize = 2;
/// Number of members that a leave notice is forwarded to at once. With 4, about 98 % of the members
/// receive it within a few round trips and the others with the next probes.
const NOTICE_FANOUT: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeTimer {
    /// Starts the next regular probe.
    Next,
    /// Ends the wait for a direct answer to the probe with this number.
    Direct(u32),
    /// Ends the wait for an answer through other members to the probe with this number.
    Indirect(u32),
    /// Declares the member dead unless its status has changed since this suspicion.
    Suspicion(MemberChange),
}

#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    target: NodeId,
    /// The node that requested this probe and the sequence number of its request; `None` if this
    /// node probes on its own behalf.
    requester: Option<(NodeId, u32)>,
}

/// SWIM-style failure detector of one node.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    table: MemberTable,
    leaving: LeavingServers,
    payload: ProbePayload,
    timers: TimerQueue<ProbeTimer>,
    /// Unanswered probes by sequence number. Bounded, because a timer removes each of them.
    pending_probes: BTreeMap<u32, PendingProbe>,
    sequence: u32,
    /// Members that are still to be probed in this round. Each member is probed once per round.
    round: Vec<NodeId>,
}

impl FailureDetector {
    /// Starts the detector of a new incarnation. The first probe has a random delay, so that nodes
    /// do not probe in step.
    pub fn start(now: ClockTime, process: NodeIncarnation, rng: &mut impl Rng) -> FailureDetector {
        let mut timers = TimerQueue::new();
        let jitter = rng.random_range(0..PROBE_INTERVAL.as_micros() as u64);
        timers.schedule(now + Duration::from_micros(jitter), ProbeTimer::Next);
        FailureDetector {
            table: MemberTable::new(process),
            leaving: LeavingServers::new(),
            payload: ProbePayload::default(),
            timers,
            pending_probes: BTreeMap::new(),
            sequence: 0,
            round: Vec::new(),
        }
    }

    /// Returns what this node knows about the members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the backend servers that are known to be leaving.
    pub fn leaving(&self) -> &LeavingServers {
        &self.leaving
    }

    /// Sets the nodes to track; see [`MemberTable::set_listed_nodes`].
    pub fn set_listed_nodes(&mut self, listed: &[NodeId]) {
        self.table.set_listed_nodes(listed);
    }

    /// Sets the payload that is sent with the next probes and answers.
    pub fn set_payload(&mut self, payload: ProbePayload) {
        self.payload = payload;
    }

    /// Announces to all members that this node is draining.
    pub fn drain(&mut self) {
        self.table.drain();
    }

    /// Returns the time of the next call of [`FailureDetector::on_timer`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles every timer that is due at `now`.
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

    /// Handles a message from another node.
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
                self.apply_piggybacked(now, from, incarnation, payload, &changes, &mut effects);
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
                self.apply_piggybacked(now, from, incarnation, payload, &changes, &mut effects);
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

    /// Probes `node` at once after a call from this node to it failed. Does nothing if a probe is
    /// pending or the member is not live.
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

    /// Handles the state that the VM list gives for a member's VM. The list lags behind: a VM that
    /// it lists as live may be dead, and a member whose VM is missing is only suspected, because a
    /// new VM may have the same node number.
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

    /// Handles a leave notice from the VM list or from the backend server itself.
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
            // Dead members stay in the round, because probing them detects that a partition healed.
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
        // Tells a dead or suspect member its status, so that it can refute it.
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

    fn apply_piggybacked(
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
            // The number of decimal digits of the member count grows like the number of rounds that
            // a change needs to reach every member.
            let timeout_factor = self.table.reachable_count().ilog10() + 1;
            let due = now + SUSPICION_TIMEOUT * timeout_factor;
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
