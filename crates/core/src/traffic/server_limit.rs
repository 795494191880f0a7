//! Keeps all nodes together within the rate of requests that a server takes.
//!
//! Each node keeps the same token bucket for a limited server. It holds what the limit adds and loses
//! a token for each request that any node sends: nodes tell each other how many they have sent in all, so
//! a lost notice is made up for by the next one. A node sends only if there is a token. Nodes that send in
//! the same instant overdraw the bucket, and all of them wait until it has recovered. To make that rare,
//! the nodes have an order: the first one takes a token as soon as there is one, each further one only
//! after those before it had time to take it and to tell.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Time in which a node tells the others that it has sent a request.
const NOTICE_TIME: Duration = Duration::from_millis(20);
/// Largest number of tokens, as the time in which the limit adds them, beyond the first one.
const MAX_BURST_TIME: Duration = Duration::from_secs(1);
/// Largest debt of a bucket: the tokens that the limit adds in this time, and some more. A node that was
/// told too high numbers therefore sends again soon.
const MAX_DEBT_TIME: Duration = Duration::from_secs(4);
const MAX_EXTRA_DEBT: f64 = 5.0;
/// Number of times that a node tells the others once more what has changed, as notices get lost.
const REPEATS: u8 = 2;
/// Rate at which a server gets requests although it names a lower limit, in requests a second. Its
/// response to one of them shows that the limit has changed.
const MIN_RATE: f64 = 0.2;

/// What a server says of its limit, as nodes tell each other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct LimitStatement {
    /// Grows each time a node sees another limit in a response. The higher one holds.
    #[n(0)]
    pub version: u64,
    /// Requests a second that the server takes; `None` if it takes any number.
    #[n(1)]
    pub rate: Option<f64>,
}

/// What is known of the limit of one server incarnation.
#[derive(Debug, Clone, Default)]
pub struct ServerLimit {
    statement: LimitStatement,
    /// When this node learned of the statement.
    learned_at: ClockTime,
    /// Invariant: `None` if and only if the server takes any number of requests.
    bucket: Option<TokenBucket>,
    rank: LimitRank,
    /// Number of requests that this node has sent while the server was limited.
    own_sent: u64,
    /// The same of other nodes, as they told, by their incarnations.
    others_sent: HashMap<u64, u64>,
    /// Number of times that the other nodes are to be told of these once more.
    repeats_left: u8,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// Named limit, in requests a second.
    rate: f64,
    /// Tokens at `updated_at`; negative if more requests were sent than the limit allows.
    tokens: f64,
    updated_at: ClockTime,
}

/// Place of a node among those that share a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitRank {
    /// Position of the node in the order in which the nodes may take a token, from 0.
    pub position: u32,
}

impl ServerLimit {
    /// Returns the limit in requests a second; `None` if the server takes any number.
    pub fn rate(&self) -> Option<f64> {
        self.statement.rate
    }

    /// Returns what is known of the limit, for the other nodes.
    pub fn statement(&self) -> LimitStatement {
        self.statement
    }

    /// Returns the number of requests that this node has sent while the server was limited.
    pub fn own_sent(&self) -> u64 {
        self.own_sent
    }

    /// Sets the position of this node among those that share the limit.
    pub fn set_rank(&mut self, rank: LimitRank) {
        self.rank = rank;
    }

    /// Records the limit that a response named, or that it named none. `sent_at` is when its request
    /// was sent. Returns whether the limit has changed.
    pub fn on_response(&mut self, now: ClockTime, sent_at: ClockTime, rate: Option<f64>) -> bool {
        // The server may have responded to an earlier request before it named what is known. Of two
        // limits of which the later one is not known, the lower one holds.
        let is_newer = self.statement.version == 0 || sent_at > self.learned_at;
        let holds = is_newer || is_lower(rate, self.rate());
        if rate == self.rate() || !holds {
            return false;
        }
        let version = self.statement.version + 1;
        self.adopt(now, LimitStatement { version, rate });
        self.repeats_left = REPEATS;
        true
    }

    /// Records what another node knows of the limit. Returns whether the limit has changed.
    pub fn on_told(&mut self, now: ClockTime, told: LimitStatement) -> bool {
        let before = self.statement;
        let is_newer = told.version > before.version;
        let is_same = told.version == before.version;
        if is_newer || (is_same && is_lower(told.rate, before.rate)) {
            self.adopt(now, told);
        }
        self.rate() != before.rate
    }

    /// Records how many requests another node has sent while the server was limited. `sender` is the
    /// incarnation of that node.
    pub fn on_other_sent(&mut self, now: ClockTime, sender: u64, sent: u64) {
        // How many of the requests of a node that was unknown were sent long ago is not known.
        let known = self.others_sent.entry(sender).or_insert(sent.saturating_sub(1));
        let more = sent.saturating_sub(*known);
        *known = sent.max(*known);
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now, more as f64);
        }
    }

    fn adopt(&mut self, now: ClockTime, statement: LimitStatement) {
        self.statement = statement;
        self.learned_at = now;
        let tokens = self.bucket.map_or(0.0, |bucket| bucket.tokens_at(now));
        self.bucket = statement.rate.map(|rate| TokenBucket { rate, tokens, updated_at: now });
    }

    /// Returns how long this node has to wait until it may send a request; zero if it may now.
    pub fn wait(&self, now: ClockTime) -> Duration {
        self.bucket.map_or(Duration::ZERO, |bucket| bucket.wait(now, self.rank))
    }

    /// Records that this node sends a request. Returns whether the server is limited, so that the
    /// other nodes have to be told.
    pub fn on_sent(&mut self, now: ClockTime) -> bool {
        let Some(bucket) = &mut self.bucket else { return false };
        bucket.take(now, 1.0);
        self.own_sent += 1;
        self.repeats_left = REPEATS;
        true
    }

    /// Whether the other nodes are to be told once more what this node knows and has sent.
    pub fn take_repeat(&mut self) -> bool {
        let is_due = self.repeats_left > 0;
        self.repeats_left = self.repeats_left.saturating_sub(1);
        is_due
    }
}

/// Whether a limit is lower than another one; no limit is higher than any.
fn is_lower(rate: Option<f64>, other: Option<f64>) -> bool {
    rate.is_some_and(|rate| other.is_none_or(|other| rate < other))
}

impl TokenBucket {
    fn rate(&self) -> f64 {
        self.rate.max(MIN_RATE)
    }

    fn max_tokens(&self) -> f64 {
        1.0 + self.rate() * MAX_BURST_TIME.as_secs_f64()
    }

    fn tokens_at(&self, now: ClockTime) -> f64 {
        let added = self.rate() * now.since(self.updated_at).as_secs_f64();
        (self.tokens + added).min(self.max_tokens())
    }

    fn refill(&mut self, now: ClockTime) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }

    fn take(&mut self, now: ClockTime, count: f64) {
        self.refill(now);
        let max_debt = self.rate() * MAX_DEBT_TIME.as_secs_f64() + MAX_EXTRA_DEBT;
        self.tokens = (self.tokens - count).max(-max_debt);
    }

    /// The tokens at which a node may take one: those that the limit adds while the nodes before it
    /// could have taken the first one.
    fn needed_tokens(&self, rank: LimitRank) -> f64 {
        let lead = NOTICE_TIME * rank.position;
        (1.0 + self.rate() * lead.as_secs_f64()).min(self.max_tokens())
    }

    fn wait(&self, now: ClockTime, rank: LimitRank) -> Duration {
        let missing = self.needed_tokens(rank) - self.tokens_at(now);
        Duration::from_secs_f64((missing / self.rate()).max(0.0))
    }
}
