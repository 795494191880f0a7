//! Tells a server that has failed from a node that has lost its own links to the servers.
//!
//! One failing server says nothing about the links. If connections to several servers fail, and no
//! other server is heard since, the node tries to reach further ones. If it reaches none, but another
//! node does, its links are lost. A server is blamed for a failure only once the links are known to have
//! worked after it.

use std::time::Duration;

use crate::{clock::ClockTime, ids::ServerKey};

/// The links are in doubt once connections to this many servers have failed.
const MIN_FAILED_SERVERS: usize = 2;
/// A failure that is older does not add to later ones: those have another cause.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// A sign of life of another server shows that the links worked at a failure if it comes this much later:
/// when links are lost, the connections break one after the other. Without one, the links are checked.
pub const BLAME_DELAY: Duration = Duration::from_millis(50);
/// Time after a check that found all servers down before the next one.
const RECHECK_PAUSE: Duration = Duration::from_secs(1);
/// The links are checked if requests are in flight and no server was heard for this long: a connection
/// that carries nothing any more does not break for seconds.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// A node may serve requests of others if it has heard a server within this time.
const HEARD_LIFETIME: Duration = Duration::from_secs(2);

/// Whether a node reaches the servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It does, as far as it knows.
    #[default]
    Working,
    /// Several servers fail; whether that is due to them is not known yet.
    Doubtful,
    /// It does not, although other nodes do.
    Lost,
}

/// How a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFailure {
    /// A connection was refused. Open ones may still work.
    NotConnected,
    /// No connection was opened in time; the server may be silent for a moment only.
    ConnectTimedOut,
    /// An open connection broke.
    Broken,
    /// There was no response in time.
    Silent,
    /// No connection could be opened some time after a run without a response.
    Unreachable,
}

impl LinkFailure {
    /// Whether the failure shows that a server has ended, if it is to blame.
    pub fn shows_end(self) -> bool {
        matches!(self, LinkFailure::NotConnected | LinkFailure::Broken)
    }

    /// Whether other nodes should avoid a server for the failure, if it is to blame. One that still
    /// answers other requests under load is not silent.
    pub fn shows_silence(self) -> bool {
        self.shows_end() || self == LinkFailure::ConnectTimedOut
    }

    /// Whether open connections may work all the same.
    fn concerns_new_connections(self) -> bool {
        match self {
            LinkFailure::NotConnected | LinkFailure::ConnectTimedOut => true,
            LinkFailure::Unreachable => true,
            LinkFailure::Broken | LinkFailure::Silent => false,
        }
    }
}

/// A server that failed, which was not due to the links of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlamedServer {
    /// The server.
    pub server: ServerKey,
    /// How it failed.
    pub failure: LinkFailure,
}

/// What a node found out about servers that fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCheck {
    /// It reaches a server.
    Reached,
    /// It reaches no server, but another node does.
    OthersReach,
    /// It reaches no server, and no other node that answers does.
    NobodyReaches,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedServer {
    server: ServerKey,
    failure: LinkFailure,
    at: ClockTime,
}

/// What a node knows of its links to the servers.
#[derive(Debug, Clone, Default)]
pub struct ServerLinks {
    state: LinkState,
    /// Servers that failed and of which no other one was reached since. Invariant: at most one entry a
    /// server and kind of failure.
    failed: Vec<FailedServer>,
    /// Servers that are to blame for failures and were not taken yet.
    blamed: Vec<BlamedServer>,
    /// When a server was heard last.
    heard_at: ClockTime,
    /// Requests in flight at servers.
    in_flight: u32,
    /// When a server was heard last, or the first of the requests in flight was sent.
    quiet_since: ClockTime,
    /// No check is made before this time.
    next_check_at: ClockTime,
}

impl ServerLinks {
    /// Returns whether the node reaches the servers.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether other nodes may have their requests run by this one.
    pub fn serves_others(&self, now: ClockTime) -> bool {
        self.state == LinkState::Working && now.since(self.heard_at) < HEARD_LIFETIME
    }

    /// Records that a request is sent to a server.
    pub fn on_sent(&mut self, now: ClockTime) {
        if self.in_flight == 0 {
            self.quiet_since = now;
        }
        self.in_flight += 1;
    }

    /// Records that a request is no longer in flight.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a server failed. `has_others` is whether other servers are known, of which a sign
    /// of life can show that the links work.
    pub fn on_failure(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        failure: LinkFailure,
        has_others: bool,
    ) {
        if self.state == LinkState::Lost {
            return;
        }
        if !has_others {
            self.blamed.push(BlamedServer { server, failure });
            return;
        }
        self.blame(now, |known| now.since(known.at) >= FAILURE_LIFETIME);
        self.failed.retain(|known| known.server != server || known.failure != failure);
        self.failed.push(FailedServer { server, failure, at: now });
        if self.state == LinkState::Working && self.failed_servers() >= MIN_FAILED_SERVERS {
            self.state = LinkState::Doubtful;
        }
    }

    /// Records that a server responded over an open connection. New ones may fail all the same.
    pub fn on_heard(&mut self, now: ClockTime, server: ServerKey) {
        self.heard_at = now;
        self.quiet_since = now;
        if self.state == LinkState::Lost {
            return;
        }
        self.blame(now, |known| {
            known.server != server && !known.failure.concerns_new_connections()
        });
        self.settle();
    }

    /// Records that a connection to a server was opened.
    pub fn on_connected(&mut self, now: ClockTime, server: ServerKey) {
        self.heard_at = now;
        self.quiet_since = now;
        self.blame(now, |known| known.server != server);
        if self.state == LinkState::Lost {
            self.state = LinkState::Working;
        }
        self.settle();
    }

    /// Whether the node has to find out why servers fail, or whether its links work again.
    pub fn needs_check(&self, now: ClockTime) -> bool {
        let is_held = self.failed.iter().any(|known| now.since(known.at) >= BLAME_DELAY);
        let is_quiet = self.in_flight > 0 && now.since(self.quiet_since) >= QUIET_PERIOD;
        (self.state != LinkState::Working || is_held || is_quiet) && now >= self.next_check_at
    }

    /// Removes and returns the servers that are to blame for failures.
    pub fn take_blamed(&mut self) -> Vec<BlamedServer> {
        std::mem::take(&mut self.blamed)
    }

    /// Records the outcome of a check.
    pub fn on_checked(&mut self, now: ClockTime, check: LinkCheck) {
        match check {
            LinkCheck::Reached => self.state = LinkState::Working,
            LinkCheck::OthersReach => {
                self.state = LinkState::Lost;
                self.next_check_at = ClockTime::ZERO;
            }
            LinkCheck::NobodyReaches => {
                self.state = LinkState::Working;
                self.next_check_at = now + RECHECK_PAUSE;
            }
        }
        match self.state {
            LinkState::Lost => self.failed.clear(),
            _ => self.blame(now, |_| true),
        }
    }

    /// Blames the servers of the failures that match, except for those just now.
    fn blame(&mut self, now: ClockTime, matches: impl Fn(&FailedServer) -> bool) {
        let is_due = |known: &FailedServer| now.since(known.at) >= BLAME_DELAY && matches(known);
        let blamed = self.failed.extract_if(.., |known| is_due(known));
        self.blamed.extend(
            blamed.map(|known| BlamedServer { server: known.server, failure: known.failure }),
        );
    }

    fn settle(&mut self) {
        if self.state == LinkState::Doubtful && self.failed_servers() < MIN_FAILED_SERVERS {
            self.state = LinkState::Working;
        }
    }

    fn failed_servers(&self) -> usize {
        let mut servers: Vec<ServerKey> = self.failed.iter().map(|known| known.server).collect();
        servers.sort_unstable();
        servers.dedup();
        servers.len()
    }
}
