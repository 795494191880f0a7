//! The software versions of the servers that began streams.
//!
//! What servers of two software versions send does not fit together, so a stream continues only at
//! the version that began it. A node records the version of each stream that it begins and shares
//! the record with some other nodes, at which a client may take the stream up. Without a record, the
//! version is known only if the service has had no other one while the stream can have begun.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{BackendServer, ServerRegistry, SoftwareRecord};
use crate::{clock::ClockTime, rendezvous::rendezvous_score, suspects::ServerBuild};

/// A client takes a stream up at most this long after its first event. Far above the time that any
/// client waits for a response.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of recorded streams. When full, the oldest is dropped.
const MAX_STREAMS: usize = 16_384;
/// The servers of a version begin no streams for this long after it was listed first, unless the
/// platform's store has recorded the version.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// Number of other nodes that get the record of a stream.
const REPLICAS: usize = 8;

/// Identifies a stream on all nodes by the client's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
#[cbor(transparent)]
pub struct StreamKey(#[n(0)] u64);

impl StreamKey {
    /// Returns the key of the stream whose first event came with this attempt.
    pub fn of_attempt(request_id: &str) -> StreamKey {
        StreamKey(rendezvous_score(request_id.as_bytes(), 0))
    }

    /// Returns the names of the nodes that hold the record of the stream, out of `nodes`.
    pub fn replicas<'a>(self, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
        let score = |name: &str| rendezvous_score(name.as_bytes(), self.0);
        let mut ranked: Vec<(u64, &str)> = nodes.map(|name| (score(name), name)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate(REPLICAS);
        ranked.into_iter().map(|(_, name)| name).collect()
    }
}

/// At which software versions a request may run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub enum SoftwareRule {
    /// At any; it continues no stream.
    #[default]
    Any,
    /// Only at this one, which began the stream.
    Only(String),
    /// At none: which version began the stream is not known.
    Unknown,
}

impl SoftwareRule {
    /// Whether a server may run the request. A stream does not continue at a server that may have
    /// started again with other software.
    pub fn allows_server(
        &self,
        now: ClockTime,
        registry: &ServerRegistry,
        server: &BackendServer,
    ) -> bool {
        match self {
            SoftwareRule::Any => true,
            SoftwareRule::Only(version) => {
                server.listing.software.as_ref() == Some(version)
                    && !registry.may_have_restarted(now, server)
            }
            SoftwareRule::Unknown => false,
        }
    }
}

/// Place of a software version in the names of a [`StreamOrigins`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SoftwareKey(usize);

/// Software version of a service, and when a server of it was listed first and last; the version is `None`
/// for servers that name none.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ListedSoftware {
    service: String,
    software: Option<String>,
    first_listed_at: ClockTime,
    listed_at: ClockTime,
}

/// Software versions of all services, as nodes tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SoftwareReport {
    /// Pairs of service and software version.
    pub listed: Vec<(String, Option<String>)>,
    /// Whether no other version was listed within the lifetime of a stream.
    pub is_complete: bool,
}

/// What a node knows of the software versions at which streams began.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    /// Names of software versions; few, so none is ever removed.
    names: Vec<String>,
    /// Invariant: has the streams of `order`, and no other.
    streams: HashMap<StreamKey, SoftwareKey>,
    /// Invariant: in the order of the times, which are those of the records.
    order: VecDeque<(ClockTime, StreamKey)>,
    /// Versions that were listed within the lifetime of a stream.
    listed: Vec<ListedSoftware>,
    /// From when on `listed` has all versions that were listed within the lifetime of a stream; `None`
    /// if the node has only just started and no other node has told it.
    complete_from: Option<ClockTime>,
    /// Services of which `listed` has all those versions already, as the platform's store shows.
    complete_services: HashSet<String>,
}

impl StreamOrigins {
    /// Records when the node starts. `is_first_start` is whether no stream can have begun before.
    pub fn on_start(&mut self, now: ClockTime, is_first_start: bool) {
        let delay = if is_first_start { Duration::ZERO } else { STREAM_LIFETIME };
        self.complete_from = Some(now + delay);
    }

    /// Records that a server is listed.
    pub fn on_listed(&mut self, now: ClockTime, service: &str, software: Option<&str>) {
        let mut listed = self.listed.iter_mut();
        match listed.find(|known| known.service == service && known.software.as_deref() == software)
        {
            Some(known) => known.listed_at = now,
            None => self.listed.push(ListedSoftware {
                service: service.to_string(),
                software: software.map(str::to_string),
                first_listed_at: now,
                listed_at: now,
            }),
        }
    }

    /// Adds the versions that another node knows of.
    pub fn on_told(&mut self, now: ClockTime, report: &SoftwareReport) {
        for (service, software) in &report.listed {
            self.on_listed(now, service, software.as_deref());
        }
        if report.is_complete {
            self.complete_from = self.complete_from.map(|from| from.min(now));
        }
    }

    /// Adds the versions that the platform's store has recorded of a service, of which none is missing.
    pub fn on_complete_record(&mut self, now: ClockTime, service: &str, record: &SoftwareRecord) {
        for software in &record.versions {
            self.on_listed(now, service, software.as_deref());
        }
        self.complete_services.insert(service.to_string());
    }

    /// Whether a version was listed first so long ago that streams begin at its servers although the
    /// platform's store has not recorded it.
    pub fn has_waited(&self, now: ClockTime, service: &str, software: Option<&str>) -> bool {
        let mut listed = self.listed.iter();
        let known =
            listed.find(|known| known.service == service && known.software.as_deref() == software);
        known.is_some_and(|known| now.since(known.first_listed_at) >= RECORD_WAIT)
    }

    /// Returns the services of which versions are known.
    pub fn services(&self) -> BTreeSet<&str> {
        self.listed.iter().map(|known| known.service.as_str()).collect()
    }

    /// Returns the versions of a service that were listed within the lifetime of a stream.
    pub fn versions<'a>(&'a self, service: &str) -> impl Iterator<Item = Option<&'a str>> {
        let listed = self.listed.iter().filter(move |known| known.service == service);
        listed.map(|known| known.software.as_deref())
    }

    /// Returns how long ago a server of a service with the software of a build was listed last; zero if
    /// this node has seen none.
    pub fn gone_for(&self, now: ClockTime, service: &str, build: ServerBuild) -> Duration {
        let listed = self.listed.iter().filter(|known| known.service == service);
        let has_software = |known: &ListedSoftware| {
            ServerBuild::new(known.software.as_deref(), None).has_software_of(build)
        };
        let seen_at = listed.filter(|known| has_software(known)).map(|known| known.listed_at);
        seen_at.max().map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns the versions that this node knows of, for a node that has started.
    pub fn report(&self, now: ClockTime) -> SoftwareReport {
        let listed = self.listed.iter();
        SoftwareReport {
            listed: listed.map(|known| (known.service.clone(), known.software.clone())).collect(),
            is_complete: self.is_complete(now),
        }
    }

    /// Drops the streams and versions that have expired.
    pub fn expire(&mut self, now: ClockTime) {
        self.listed.retain(|known| now.since(known.listed_at) < STREAM_LIFETIME);
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= STREAM_LIFETIME) {
            self.drop_oldest();
        }
    }

    /// Records the version at which a stream began. The first record of a stream holds.
    pub fn record(&mut self, now: ClockTime, stream: StreamKey, software: &str) {
        if self.streams.contains_key(&stream) {
            return;
        }
        if self.order.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        let key = self.software_key(software);
        self.streams.insert(stream, key);
        self.order.push_back((now, stream));
    }

    /// Returns the version at which a stream began, if it is recorded.
    pub fn origin(&self, stream: StreamKey) -> Option<&str> {
        self.streams.get(&stream).map(|key| self.names[key.0].as_str())
    }

    /// Whether a service has, or had within the lifetime of a stream, servers of several versions or
    /// of an unknown one, as far as this node knows.
    fn is_mixed(&self, service: &str) -> bool {
        let mut listed = self.listed.iter().filter(|known| known.service == service);
        let first = listed.next();
        listed.next().is_some() || first.is_some_and(|known| known.software.is_none())
    }

    /// Returns the only version that a service had within the lifetime of a stream; `None` if there
    /// are several, or if there may have been some that this node does not know of.
    pub fn only_version(&self, now: ClockTime, service: &str) -> Option<&str> {
        if !self.is_complete_for(now, service) || self.is_mixed(service) {
            return None;
        }
        self.listed.iter().find(|known| known.service == service)?.software.as_deref()
    }

    /// Whether all versions of a service are known that were listed within the lifetime of a stream.
    pub fn is_complete_for(&self, now: ClockTime, service: &str) -> bool {
        self.is_complete(now) || self.complete_services.contains(service)
    }

    fn is_complete(&self, now: ClockTime) -> bool {
        self.complete_from.is_some_and(|from| now >= from)
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.streams.remove(&stream);
        }
    }

    fn software_key(&mut self, software: &str) -> SoftwareKey {
        if let Some(place) = self.names.iter().position(|name| name == software) {
            return SoftwareKey(place);
        }
        self.names.push(software.to_string());
        SoftwareKey(self.names.len() - 1)
    }
}
