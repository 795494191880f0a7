//! What the histories are like.

use std::time::Duration;

/// Number of servers that a part may crash before requests with it must be rejected.
const PART_CRASHES: usize = 5;
/// Number of servers that a request may crash before it must be rejected.
const REQUEST_CRASHES: usize = 3;

/// When a run with the crashing part, or of the crashing request, ends its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    Always,
    /// The server has any software but the first.
    NewSoftware,
    /// The server has the first software.
    OldSoftware,
    /// The version of the server's weights is odd.
    OddWeights,
    /// The server is one of half of them, which are not told apart by anything that nodes know.
    SomeServers,
    /// One of two runs.
    SomeRuns,
}

/// How the software of the servers changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Releases {
    None,
    /// Half of the servers have new software from the start.
    Half,
    /// One server has new software from the start.
    One,
    /// The servers get new software one after the other, and newer software later.
    Rolling,
    /// All servers get new software from the eighth second on, within four seconds.
    Fix,
}

/// Time by which all servers have new software in [`Releases::Fix`].
pub const FIXED_BY: Duration = Duration::from_secs(12);

impl Releases {
    /// Returns the software with which a server starts.
    pub fn first_software(self, server: u64) -> u64 {
        match self {
            Releases::None | Releases::Rolling | Releases::Fix => 0,
            Releases::Half => server % 2,
            Releases::One => u64::from(server == 0),
        }
    }

    /// Returns the software that a server must have after this time, if it changes.
    pub fn software(self, server: u64, elapsed: Duration) -> Option<u64> {
        match self {
            Releases::None | Releases::Half | Releases::One => None,
            Releases::Rolling => Some(elapsed.as_secs().checked_sub(2 * server)? / 12),
            Releases::Fix => Some(u64::from(elapsed.as_millis() as u64 >= 8_000 + 300 * server)),
        }
    }
}

/// What happens in a history, besides requests with the crashing part.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    /// Number of parts that crash servers.
    pub crashing_parts: usize,
    /// Requests a second with a crashing part, and sound ones with the same first part.
    pub crashing_rate: f64,
    pub sound_rate: f64,
    /// Number of other parts that both kinds of request share.
    pub companions: u64,
    /// Whether each session with the crashing part also has one companion that no sound request has.
    pub nested: bool,
    /// Whether crashed servers fall silent instead of resetting their connections.
    pub silent: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Node that restarts, every five seconds.
    pub restarts: bool,
    /// Whether one node is cut off from all others and the store for some seconds, twice.
    pub cuts: bool,
    /// Whether a node joins after ten seconds.
    pub joins: bool,
    /// Whether several servers end together for other reasons, every four seconds.
    pub waves: bool,
    /// Whether the same request comes again and crashes servers, instead of different ones with one part.
    pub repeated: bool,
    /// When a run crashes its server; otherwise it completes.
    pub condition: Condition,
    /// How the software of the servers changes.
    pub releases: Releases,
    /// Time between two versions of weights, unless they stay the same.
    pub weights_period: Option<Duration>,
}

/// History in which nothing else happens.
pub const CALM: Case = Case {
    name: "calm",
    crashing_parts: 1,
    crashing_rate: 3.0,
    sound_rate: 12.0,
    companions: 6,
    nested: false,
    silent: false,
    loss: 0.0,
    restarts: false,
    cuts: false,
    joins: false,
    waves: false,
    repeated: false,
    condition: Condition::Always,
    releases: Releases::None,
    weights_period: None,
};

/// Histories in which each run with the part crashes its server.
pub const CASES: [Case; 13] = [
    CALM,
    Case { name: "rare requests", crashing_rate: 0.4, sound_rate: 1.5, ..CALM },
    Case { name: "many at once", crashing_rate: 25.0, ..CALM },
    Case { name: "few sound requests", sound_rate: 1.0, companions: 1, ..CALM },
    Case { name: "two parts", crashing_parts: 2, crashing_rate: 5.0, ..CALM },
    Case { name: "nested parts", nested: true, ..CALM },
    Case { name: "silent servers", silent: true, crashing_rate: 2.0, ..CALM },
    Case { name: "lost datagrams", loss: 0.3, ..CALM },
    Case { name: "restarts", restarts: true, loss: 0.1, ..CALM },
    Case { name: "cut-off node", cuts: true, loss: 0.1, ..CALM },
    Case { name: "joining node", joins: true, loss: 0.1, ..CALM },
    Case { name: "waves of crashes", waves: true, ..CALM },
    Case {
        name: "everything",
        nested: true,
        loss: 0.2,
        restarts: true,
        cuts: true,
        joins: true,
        waves: true,
        ..CALM
    },
];

impl Case {
    /// Number of crashes from which on requests must be rejected.
    pub fn max_crashes(&self) -> usize {
        if self.repeated { REQUEST_CRASHES } else { PART_CRASHES }
    }
}
