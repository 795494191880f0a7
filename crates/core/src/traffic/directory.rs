//! Which entries a caller is told to use.

use std::{net::SocketAddr, time::Duration};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Live entries of the caller's own data centre that are enough without others.
const ENOUGH_NEAR: usize = 2;
/// How long callers keep an answer.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// An entry that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryMember {
    /// Name of its VM.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
}

/// The answer to a caller that asks where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryAnswer {
    /// Addresses, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be used.
    pub lifetime: Duration,
}

/// Chooses entries for callers.
#[derive(Debug, Clone, Copy)]
pub struct EntryChooser<'a> {
    members: &'a [DirectoryMember],
}

impl<'a> EntryChooser<'a> {
    /// Creates a chooser among live entries.
    pub fn new(members: &'a [DirectoryMember]) -> EntryChooser<'a> {
        EntryChooser { members }
    }

    /// Entries of the caller's data centre, with the nearest others where these are too few.
    /// Bytes between data centres are dear and callers choose at random among all they get.
    pub fn answer(&self, region: &str, data_centre: &str) -> DirectoryAnswer {
        let distance = |member: &DirectoryMember| match () {
            () if member.data_centre == data_centre => 0,
            () if member.region == region => 1,
            () => 2,
        };
        let mut ranked: Vec<(u8, &DirectoryMember)> =
            self.members.iter().map(|member| (distance(member), member)).collect();
        ranked.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let near = ranked.iter().filter(|(distance, _)| *distance == 0).count();
        if near >= ENOUGH_NEAR {
            ranked.truncate(near);
        }
        ranked.truncate(MAX_ADDRESSES);
        let addresses = ranked.into_iter().map(|(_, member)| member.address).collect();
        DirectoryAnswer { addresses, lifetime: ANSWER_LIFETIME }
    }
}
