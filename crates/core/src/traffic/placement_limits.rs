//! What the servers' own limits mean for the choice of a server.

use std::time::Duration;

use rand::Rng;

use super::{
    BackendServer, PlacementRefusal, PlacementRequest, ServerRegistry,
    brittle_server::ServerOccupancy,
};
use crate::{clock::ClockTime, ids::ServerKey};

/// Shortest retry delay that a refused client is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The retry delay of a client that is refused because of servers' limits is up to this multiple of the
/// time until one of them takes a request.
const MAX_LIMIT_SPREAD: f64 = 3.0;
/// The retry delay of a client that is refused because servers are at rest is up to this multiple of the time
/// until the first of them takes requests again.
const MAX_REST_SPREAD: f64 = 1.2;
/// Time after which a brittle server without room may have some again.
const FULL_RETRY: Duration = Duration::from_millis(300);

impl BackendServer {
    /// Returns what is known of the requests at the server.
    pub fn occupancy(&self, now: ClockTime, nodes: usize) -> ServerOccupancy {
        ServerOccupancy {
            load: self.health.load_report(now),
            slots: self.listing.slots,
            in_flight: self.in_flight,
            unanswered: self.prefill_backlog.len(now),
            nodes,
        }
    }

    /// Whether the limits that the server names allow another request now.
    pub(super) fn is_within_limits(
        &self,
        now: ClockTime,
        nodes: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let is_admitted = !self.brittle.is_brittle(now)
            || self.brittle.admits(now, self.occupancy(now, nodes), rng.random());
        is_admitted && self.limit.wait(now).is_zero()
    }
}

/// Returns why no server was chosen.
pub(super) fn refusal(
    now: ClockTime,
    registry: &ServerRegistry,
    request: &PlacementRequest<'_>,
    tried: &[ServerKey],
    rng: &mut impl Rng,
) -> PlacementRefusal {
    // Clients that come back together would find the same single place.
    let spread = rng.random_range(1.0..MAX_LIMIT_SPREAD);
    if let Some(wait) = registry.limit_wait(now, request.service, tried) {
        return PlacementRefusal::Limited(wait.max(MIN_RETRY_AFTER).mul_f64(spread));
    }
    let rests = registry.usable(request.service).map(|(_, server)| server.health.rest_left(now));
    if let Some(wait) = rests.filter(|rest| !rest.is_zero()).min() {
        let spread = rng.random_range(1.0..MAX_REST_SPREAD);
        return PlacementRefusal::AtRest(wait.max(MIN_RETRY_AFTER).mul_f64(spread));
    }
    let mut untried = registry.usable(request.service).filter(|(key, _)| !tried.contains(key));
    if untried.any(|(_, server)| server.brittle.is_brittle(now)) {
        return PlacementRefusal::Busy(FULL_RETRY.mul_f64(spread));
    }
    PlacementRefusal::NoServer
}
