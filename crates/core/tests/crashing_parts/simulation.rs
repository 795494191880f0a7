//! A simulated fleet of nodes that tell each other of crashes by datagrams that get lost, with its servers
//! and clients.

mod conditions;
mod network;

use std::{collections::BTreeMap, time::Duration};

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::ServerKey,
    rendezvous::rendezvous_score,
    suspects::{RequestSuspects, SuspectFingerprint},
    traffic::{CrashReport, CrashTracker, CrashVerdict, RunEnd, ServerRun},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::cases::Case;

const SERVERS: usize = 12;
/// When a history begins.
const START: ClockTime = ClockTime::from_millis(10_000);
/// Length of a history.
const LENGTH: Duration = Duration::from_secs(40);
const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(500);
/// Time between two servers that load new weights.
const LOAD_TIME: Duration = Duration::from_millis(200);
/// Time until a crashed server is back as a new incarnation.
const RESTART_TIME: Duration = Duration::from_secs(5);
/// Time after which a request to a silent server times out.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until the entry of a silent server vanishes.
const SILENT_ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// Time after which a node that was disturbed has to know of the crashes.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Grace of nodes that write records reported to them.
const WRITE_GRACE: Duration = Duration::from_secs(2);

/// First of the parts that crash servers; the others follow it.
const CRASHING: u64 = 0xbad;
/// First part of the caller that sends the crashing part.
const FIRST: u64 = 1;

struct SimNode {
    tracker: CrashTracker,
    /// When the node was disturbed last: its start, or the end of its isolation.
    disturbed_at: ClockTime,
    cut_until: ClockTime,
    inbox: Vec<(ClockTime, CrashReport)>,
    /// Times at which the node reads the records of another one.
    reads: Vec<ClockTime>,
}

impl SimNode {
    fn new(now: ClockTime, number: u64) -> SimNode {
        SimNode {
            tracker: CrashTracker::new(number),
            disturbed_at: now,
            cut_until: ClockTime::ZERO,
            inbox: Vec::new(),
            reads: vec![now + Duration::from_millis(400), now + Duration::from_millis(800)],
        }
    }

    fn is_cut(&self, now: ClockTime) -> bool {
        now < self.cut_until
    }
}

struct SimServer {
    key: ServerKey,
    incarnation: u64,
    up_at: ClockTime,
    /// Number of its software version.
    software: u64,
}

struct SimRun {
    node: usize,
    server: usize,
    run: ServerRun,
    /// Index of the part that crashes the server under this run.
    crashing: Option<usize>,
    begins_at: ClockTime,
    ends_at: ClockTime,
}

/// What a history has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    pub crashes: usize,
    /// Largest number of runs with one crashing part, or of the crashing request, that began too late.
    pub late_runs: usize,
    /// Requests that crashed servers before all of them got other software, and would complete now.
    pub fixed_allowed: usize,
    pub fixed_rejected: usize,
    pub sound_allowed: usize,
    pub sound_rejected: usize,
}

#[derive(Debug, Clone, Default)]
struct PartCount {
    crashes: usize,
    /// When the last crash happened before which no request has to be rejected.
    bound_reached: Option<ClockTime>,
    late_runs: usize,
}

pub struct Simulation {
    case: Case,
    rng: SmallRng,
    now: ClockTime,
    nodes: Vec<SimNode>,
    servers: Vec<SimServer>,
    runs: Vec<SimRun>,
    /// Runs at silent servers, with the time at which they time out.
    silent_runs: Vec<(ClockTime, SimRun)>,
    /// Silent servers, with the time at which their entries vanish.
    silent: Vec<(ClockTime, usize)>,
    /// Records in the store, by the text of their suspect.
    store: BTreeMap<String, CrashReport>,
    last_crash: Option<ClockTime>,
    /// Crashes and late runs of each crashing part; those of the crashing request are the first.
    parts: Vec<PartCount>,
    next_request: u64,
    /// When a server of each software was there last.
    software_seen: BTreeMap<u64, ClockTime>,
    outcome: Outcome,
}

impl Simulation {
    /// Creates a history of a case; `seed` decides what is random in it.
    pub fn new(case: Case, seed: u64) -> Simulation {
        let mut arena = KeyArena::<ServerKey, ()>::default();
        let server = |index| SimServer {
            key: arena.insert(()),
            incarnation: index,
            up_at: ClockTime::ZERO,
            software: case.releases.first_software(index),
        };
        let nodes = if case.joins { 8 } else { 9 };
        Simulation {
            case,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            nodes: (0..nodes).map(|number| SimNode::new(ClockTime::ZERO, number)).collect(),
            servers: (0..SERVERS as u64).map(server).collect(),
            runs: Vec::new(),
            silent_runs: Vec::new(),
            silent: Vec::new(),
            store: BTreeMap::new(),
            last_crash: None,
            parts: vec![PartCount::default(); case.crashing_parts],
            next_request: 0,
            software_seen: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays the history to its end.
    pub fn play(mut self) -> Outcome {
        while self.now.since(START) < LENGTH {
            let elapsed = self.now.since(START);
            self.release(elapsed);
            self.disturb(elapsed);
            self.end_runs();
            self.deliver();
            if is_multiple(elapsed, TICK) {
                (0..self.nodes.len()).for_each(|node| self.tick(node));
            }
            self.arrive();
            self.now = self.now + STEP;
        }
        let late_runs = self.parts.iter().map(|part| part.late_runs);
        self.outcome.late_runs = late_runs.max().unwrap_or(0);
        self.outcome
    }

    /// Restarts, cuts off and adds nodes, and ends servers for other reasons.
    fn disturb(&mut self, elapsed: Duration) {
        if self.case.restarts && is_multiple(elapsed, Duration::from_secs(5)) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.runs.retain(|run| run.node != node);
            self.silent_runs.retain(|(_, run)| run.node != node);
            self.nodes[node] = SimNode::new(self.now, self.next_request);
            self.copy_store(node);
        }
        if self.case.cuts && is_multiple(elapsed + Duration::from_secs(9), Duration::from_secs(12))
        {
            let node = self.rng.random_range(0..self.nodes.len());
            let until = self.now + Duration::from_secs(5);
            self.nodes[node].cut_until = until;
            self.nodes[node].disturbed_at = until;
            self.nodes[node].reads.extend([until, until + Duration::from_millis(400)]);
        }
        if self.case.joins && elapsed == Duration::from_secs(10) {
            self.nodes.push(SimNode::new(self.now, self.next_request));
            self.copy_store(self.nodes.len() - 1);
        }
        if self.case.waves && is_multiple(elapsed + Duration::from_secs(2), Duration::from_secs(4))
        {
            for _ in 0..6 {
                let server = self.rng.random_range(0..SERVERS);
                self.end_server(server);
            }
        }
    }

    /// Replaces servers by those of the next software version.
    fn release(&mut self, elapsed: Duration) {
        for server in 0..SERVERS {
            let software = self.case.releases.software(server as u64, elapsed);
            if software.is_some_and(|next| next != self.servers[server].software) {
                self.end_server(server);
                self.servers[server].software = software.unwrap_or_default();
            }
            self.software_seen.insert(self.servers[server].software, self.now);
        }
    }

    fn arrive(&mut self) {
        let seconds = STEP.as_secs_f64();
        let crashing = self.rng.random_bool((self.case.crashing_rate * seconds).min(1.0));
        if crashing {
            let companion = match self.case.nested {
                true => 900 + self.rng.random_range(0..3),
                false => 100 + self.rng.random_range(0..self.case.companions),
            };
            let index = self.rng.random_range(0..self.case.crashing_parts);
            match self.case.repeated {
                true => self.request(&[FIRST, 100], Some(0)),
                false => self.request(&[FIRST, CRASHING + index as u64, companion], Some(index)),
            }
        }
        if self.rng.random_bool((self.case.sound_rate * seconds).min(1.0)) {
            let companion = 100 + self.rng.random_range(0..self.case.companions);
            let has_companion = self.rng.random_bool(0.7);
            let parts = [FIRST, companion];
            self.request(if has_companion { &parts } else { &parts[..1] }, None);
        }
        // Other callers, whose requests run beside them.
        if self.rng.random_bool(0.3) {
            let first = self.rng.random_range(10..16);
            let second = self.rng.random_range(200..240);
            self.request(&[first, second], None);
        }
    }

    fn request(&mut self, parts: &[u64], crashing: Option<usize>) {
        self.next_request += 1;
        let is_repeated = self.case.repeated && crashing.is_some();
        let number = if is_repeated { 0 } else { self.next_request };
        let request = SuspectFingerprint::new("workspace", &number.to_le_bytes());
        let parts_suspects = parts.iter().map(|part| SuspectFingerprint::of_part(*part));
        let suspects = RequestSuspects::new(request, parts_suspects);
        let node = self.rng.random_range(0..self.nodes.len());
        let count = self.nodes.len();
        let rank = |suspect: SuspectFingerprint| {
            let score = |node: usize| rendezvous_score(suspect.to_string().as_bytes(), node as u64);
            (0..count).filter(|other| score(*other) > score(node)).count() as u32
        };
        let replaced_for = |build| self.replaced_for(build);
        let ruling = self.nodes[node].tracker.verdict(self.now, &suspects, rank, replaced_for);
        let is_allowed = ruling.verdict == CrashVerdict::Allow;
        if crashing.is_none()
            && parts[0] == FIRST
            && self.is_sound_judged()
            && self.is_in_touch(node)
        {
            match is_allowed {
                true => self.outcome.sound_allowed += 1,
                false => self.outcome.sound_rejected += 1,
            }
        }
        if crashing.is_some() && self.is_fixed() && self.is_in_touch(node) {
            match is_allowed {
                true => self.outcome.fixed_allowed += 1,
                false => self.outcome.fixed_rejected += 1,
            }
        }
        let up: Vec<usize> =
            (0..SERVERS).filter(|&server| self.servers[server].up_at <= self.now).collect();
        if !is_allowed || up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let SimServer { key, incarnation, .. } = self.servers[server];
        let build = self.server_build(server);
        let run = self.nodes[node].tracker.start_run(&suspects, key, incarnation, build);
        if let Some(index) = crashing
            && self.parts[index].bound_reached.is_some_and(|at| self.now.since(at) > STABLE_TIME)
            && self.is_in_touch(node)
            && !self.is_harmless()
        {
            self.parts[index].late_runs += 1;
        }
        let begins_at = self.now + Duration::from_millis(self.rng.random_range(20..300));
        let ends_at = begins_at + Duration::from_millis(self.rng.random_range(100..1_500));
        let crashing = crashing.filter(|_| self.is_fatal(server));
        self.runs.push(SimRun { node, server, run, crashing, begins_at, ends_at });
    }

    fn is_in_touch(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        !node.is_cut(self.now) && self.now.since(node.disturbed_at) >= STABLE_TIME
    }

    /// Whether sound requests count: from twice the stable time after the fifth crash on.
    fn is_sound_judged(&self) -> bool {
        let reached = self.parts.iter().map(|part| part.bound_reached);
        let all_reached = reached.collect::<Option<Vec<_>>>();
        let since = all_reached.and_then(|times| times.into_iter().max()).or(self.last_crash);
        since.is_some_and(|at| self.now.since(at) > STABLE_TIME * 2)
    }

    /// Ends the runs that are due, and the servers under runs that crash them.
    fn end_runs(&mut self) {
        let now = self.now;
        let mut begun = self.runs.iter().filter(|run| run.begins_at <= now);
        let crashing = begun.find_map(|run| Some((run.server, run.crashing?)));
        if let Some((server, index)) = crashing {
            self.outcome.crashes += 1;
            self.last_crash = Some(now);
            let part = &mut self.parts[index];
            part.crashes += 1;
            if part.crashes == self.case.max_crashes() {
                part.bound_reached = Some(now);
            }
            self.end_server(server);
            return self.end_runs();
        }
        let (due, running) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.ends_at <= now);
        self.runs = running;
        let due: Vec<SimRun> = due;
        due.into_iter().for_each(|run| self.end_run(run, RunEnd::Completed, true));
    }

    /// Ends a server with all its runs. It returns as a new incarnation.
    fn end_server(&mut self, server: usize) {
        let (lost, running) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.server == server);
        self.runs = running;
        let lost: Vec<SimRun> = lost;
        if self.case.silent {
            let timed_out = self.now + RESPONSE_TIMEOUT;
            self.silent_runs.extend(lost.into_iter().map(|run| (timed_out, run)));
            self.silent.push((self.now + SILENT_ENTRY_LIFETIME, server));
        } else {
            lost.into_iter().for_each(|run| self.end_run(run, RunEnd::Broken, true));
        }
        self.servers[server].up_at = self.now + RESTART_TIME;
        self.servers[server].incarnation += 100;
    }

    fn end_run(&mut self, run: SimRun, end: RunEnd, is_listed: bool) {
        let mut events = Vec::new();
        let tracker = &mut self.nodes[run.node].tracker;
        tracker.end_run(self.now, run.run, end, is_listed, &mut events);
        self.share(run.node, &events);
    }
}

fn is_multiple(elapsed: Duration, period: Duration) -> bool {
    elapsed.as_millis().is_multiple_of(period.as_millis())
}
