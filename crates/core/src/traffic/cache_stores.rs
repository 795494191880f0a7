//! Which stores of KV cache respond, and which of them holds a prefix.
//!
//! Load pattern: many shared prefixes that no engine has room for, saved to and fetched from several
//! stores, of which any may stop, or start again empty. Each prefix belongs to one of the stores that
//! respond, by rendezvous hashing, so that a store that stops moves only its own prefixes.

use std::{net::SocketAddr, time::Duration};

use crate::{clock::ClockTime, rendezvous::rendezvous_score};

/// A store other than the first is not used once nothing was heard of it for this long. Nodes of
/// earlier builds watch only the first one, so a report of another may be the last one.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of a store of KV cache, which all nodes derive from its service name and address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(pub u64);

/// A configured store of KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSite {
    /// Number of the store.
    pub id: StoreId,
    /// Address at which engines reach it.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
}

impl StoreSite {
    /// Creates the site of the store that the service `name` has at `address`.
    pub fn new(name: &str, address: SocketAddr, data_centre: &str) -> StoreSite {
        let id = StoreId(rendezvous_score(format!("{name} {address}").as_bytes(), 0));
        StoreSite { id, address, data_centre: data_centre.to_string() }
    }
}

/// What a report of a store changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreChange {
    /// Whether the store began or stopped to respond.
    pub turned: bool,
    /// Whether it has lost what it held.
    pub emptied: bool,
}

#[derive(Debug, Clone)]
struct KnownStore {
    site: StoreSite,
    /// Whether the last report said that it responds; `None` before the first one.
    up: Option<bool>,
    /// Last known epoch.
    epoch: Option<u64>,
    reported_at: ClockTime,
}

/// The configured stores of KV cache, in the order of the configuration.
#[derive(Debug, Clone, Default)]
pub struct CacheStores {
    stores: Vec<KnownStore>,
}

impl CacheStores {
    /// Replaces the configured stores. Those that stay keep what is known of them.
    pub fn configure(&mut self, sites: Vec<StoreSite>) {
        let mut before = std::mem::take(&mut self.stores);
        self.stores = sites
            .into_iter()
            .map(|site| match before.iter().position(|known| known.site.id == site.id) {
                Some(index) => KnownStore { site, ..before.swap_remove(index) },
                None => KnownStore { site, up: None, epoch: None, reported_at: ClockTime::ZERO },
            })
            .collect();
    }

    /// Records whether a store responds, and its epoch, which changes when it starts again empty.
    /// Returns `None` for a store that is not configured.
    pub fn on_report(
        &mut self,
        now: ClockTime,
        store: StoreId,
        up: bool,
        epoch: u64,
    ) -> Option<StoreChange> {
        let known = self.stores.iter_mut().find(|known| known.site.id == store)?;
        let turned = known.up.unwrap_or(true) != up;
        let mut emptied = false;
        if up {
            // The first epoch that is learned shows no restart, unless the store was down before.
            emptied = known.epoch.map_or(turned, |before| before != epoch);
            known.epoch = Some(epoch);
        }
        known.up = Some(up);
        known.reported_at = now;
        Some(StoreChange { turned, emptied })
    }

    /// Configured stores, whether they respond or not.
    pub fn configured(&self) -> impl Iterator<Item = &StoreSite> {
        self.stores.iter().map(|known| &known.site)
    }

    /// The first configured store, the only one that nodes of earlier builds use.
    pub fn first(&self) -> Option<StoreId> {
        self.stores.first().map(|known| known.site.id)
    }

    /// Stores that may be used now. The first counts as responding until a report says otherwise.
    pub fn usable(&self, now: ClockTime) -> impl Iterator<Item = &StoreSite> {
        let is_usable = move |(index, known): &(usize, &KnownStore)| match known.up {
            Some(up) => up && (*index == 0 || now.since(known.reported_at) < REPORT_LIFETIME),
            None => *index == 0,
        };
        self.stores.iter().enumerate().filter(is_usable).map(|(_, known)| &known.site)
    }

    /// Address of a store while it may be used.
    pub fn address(&self, now: ClockTime, store: StoreId) -> Option<SocketAddr> {
        self.usable(now).find(|site| site.id == store).map(|site| site.address)
    }

    /// The store that a prefix belongs to. It is the same for servers in all data centres: a copy in each
    /// of them would be saved once for each, and divide the room for prefixes by their number.
    pub fn home(&self, now: ClockTime, prefix: u64) -> Option<&StoreSite> {
        let score = |site: &StoreSite| rendezvous_score(&prefix.to_le_bytes(), site.id.0);
        self.usable(now).max_by_key(|site| score(site))
    }
}
