//! The order in which requests are admitted under pressure.

/// Highest priority number; larger ones count as this one.
const MAX_PRIORITY: u8 = 9;
/// Lower bounds of the cost classes after the first, in ms of server time.
const COST_BOUNDS_MS: [f64; 3] = [16.0, 64.0, 256.0];

/// Rank of a request; a lower one is admitted first. Ordered by priority, then by the priority of
/// the route, then by the server time that the request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank(u16);

impl RequestRank {
    /// Creates the rank of a request that takes `server_ms` of a server's time. `priority` is that of
    /// the workspace, or of the route if the workspace has none.
    pub fn new(priority: u8, route_priority: u8, server_ms: f64) -> RequestRank {
        let priority = u16::from(priority.min(MAX_PRIORITY));
        let route_priority = u16::from(route_priority.min(MAX_PRIORITY));
        let cost = COST_BOUNDS_MS.iter().filter(|&&bound| server_ms >= bound).count() as u16;
        let levels = u16::from(MAX_PRIORITY) + 1;
        let classes = COST_BOUNDS_MS.len() as u16 + 1;
        RequestRank((priority * levels + route_priority) * classes + cost)
    }

    /// The rank as a number; lower is more urgent.
    pub fn number(self) -> u16 {
        self.0
    }
}
