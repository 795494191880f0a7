//! Single-use permits for outages of the key-value service.
//!
//! A permit is issued and redeemed by the same incarnation of one entry, so its memory decides
//! alone and needs no write. The permit is the identity of the request: all attempts of one call
//! carry the same permit, and an idempotency key beside it is not used.

use std::{collections::VecDeque, fmt, str::FromStr, time::Duration};

use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Permits that an entry remembers at most; 24 bytes for each 64 of them.
pub const MAX_OPEN_PERMITS: usize = 65_536;
/// How long a permit stays redeemable at least.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(600);
const BLOCK_PERMITS: u64 = 64;
const MAX_BLOCKS: usize = MAX_OPEN_PERMITS / BLOCK_PERMITS as usize;

/// A single-use permit. As text: `node-incarnation-serial-mac`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The only entry and incarnation that redeems it.
    pub issuer: NodeIncarnation,
    /// Counts permits of the incarnation.
    pub serial: u64,
    mac: blake3::Hash,
}

impl fmt::Display for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NodeIncarnation { node, incarnation } = self.issuer;
        write!(f, "{}-{}-{}-{}", node.0, incarnation.0, self.serial, self.mac.to_hex())
    }
}

impl FromStr for Permit {
    type Err = PermitError;

    fn from_str(text: &str) -> Result<Permit, PermitError> {
        let parse = || {
            let mut parts = text.split('-');
            let node = NodeId(parts.next()?.parse().ok()?);
            let incarnation = IncarnationId(parts.next()?.parse().ok()?);
            let serial = parts.next()?.parse().ok()?;
            let mac = blake3::Hash::from_hex(parts.next()?).ok()?;
            let issuer = NodeIncarnation { node, incarnation };
            parts.next().is_none().then_some(Permit { issuer, serial, mac })
        };
        parse().ok_or(PermitError::Malformed)
    }
}

/// Why a permit was not issued or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The text is not a permit.
    Malformed,
    /// [`MAX_OPEN_PERMITS`] are younger than [`PERMIT_LIFETIME`] and not all redeemed.
    Full,
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PermitError::Malformed => write!(f, "text is not a permit"),
            PermitError::Full => write!(f, "{MAX_OPEN_PERMITS} permits are open"),
        }
    }
}

impl std::error::Error for PermitError {}

/// What a permit allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedeemOutcome {
    /// Run the request. Given once for each permit.
    Run,
    /// The permit has been redeemed or has left memory: `outcome_unknown`.
    AlreadyRedeemed,
    /// Another entry issued it and decides: `outcome_unknown` with that entry's address.
    IssuedElsewhere(NodeId),
    /// An earlier incarnation issued it; nobody can redeem it any more: `outcome_unknown`.
    IssuerRestarted,
    /// The fleet did not issue it for this workspace: `not_run`.
    Invalid,
}

/// The permits of one incarnation of an entry.
#[derive(Debug, Clone)]
pub struct PermitRegistry {
    life: NodeIncarnation,
    key: [u8; 32],
    next_serial: u64,
    /// Invariant: consecutive blocks; the last one covers `next_serial - 1`.
    blocks: VecDeque<PermitBlock>,
}

#[derive(Debug, Clone, Copy)]
struct PermitBlock {
    first_serial: u64,
    /// Bit `n` is set if `first_serial + n` is redeemed.
    redeemed: u64,
    last_issued: ClockTime,
}

impl PermitRegistry {
    /// Creates the registry of an incarnation. `key` is shared by the fleet, so that every entry
    /// recognizes permits of the others.
    pub fn new(life: NodeIncarnation, key: [u8; 32]) -> PermitRegistry {
        PermitRegistry { life, key, next_serial: 0, blocks: VecDeque::new() }
    }

    /// Issues a permit for a workspace.
    pub fn issue(&mut self, workspace: &str, now: ClockTime) -> Result<Permit, PermitError> {
        let serial = self.next_serial;
        if serial.is_multiple_of(BLOCK_PERMITS) {
            if self.blocks.len() >= MAX_BLOCKS {
                let evictable = |block: &PermitBlock| {
                    block.redeemed == u64::MAX || block.last_issued + PERMIT_LIFETIME <= now
                };
                if !self.blocks.front().is_some_and(evictable) {
                    return Err(PermitError::Full);
                }
                self.blocks.pop_front();
            }
            let block = PermitBlock { first_serial: serial, redeemed: 0, last_issued: now };
            self.blocks.push_back(block);
        }
        if let Some(block) = self.blocks.back_mut() {
            block.last_issued = now;
        }
        self.next_serial += 1;
        Ok(Permit { issuer: self.life, serial, mac: self.mac(self.life, serial, workspace) })
    }

    /// Redeems a permit. After [`RedeemOutcome::Run`] it is spent.
    pub fn redeem(&mut self, permit: &Permit, workspace: &str) -> RedeemOutcome {
        // `blake3::Hash` compares in constant time.
        if permit.mac != self.mac(permit.issuer, permit.serial, workspace) {
            return RedeemOutcome::Invalid;
        }
        if permit.issuer.node != self.life.node {
            return RedeemOutcome::IssuedElsewhere(permit.issuer.node);
        }
        if permit.issuer.incarnation != self.life.incarnation {
            return RedeemOutcome::IssuerRestarted;
        }
        match self.find(permit.serial) {
            Some((block, bit)) if block.redeemed & bit == 0 => {
                block.redeemed |= bit;
                RedeemOutcome::Run
            }
            _ => RedeemOutcome::AlreadyRedeemed,
        }
    }

    /// Makes a redeemed permit valid again, because no byte of its request left the entry.
    pub fn restore(&mut self, permit: &Permit) {
        if permit.issuer == self.life
            && let Some((block, bit)) = self.find(permit.serial)
        {
            block.redeemed &= !bit;
        }
    }

    fn find(&mut self, serial: u64) -> Option<(&mut PermitBlock, u64)> {
        if serial >= self.next_serial {
            return None;
        }
        let first = self.blocks.front()?.first_serial;
        let position = serial.checked_sub(first)? / BLOCK_PERMITS;
        let block = self.blocks.get_mut(position as usize)?;
        Some((block, 1 << (serial % BLOCK_PERMITS)))
    }

    fn mac(&self, issuer: NodeIncarnation, serial: u64, workspace: &str) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(b"carobvane permit v1");
        hasher.update(&issuer.node.0.to_le_bytes());
        hasher.update(&issuer.incarnation.0.to_le_bytes());
        hasher.update(&serial.to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.finalize()
    }
}
