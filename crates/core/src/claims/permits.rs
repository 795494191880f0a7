//! Single-use permits, which let non-idempotent requests run while the key-value service is down.
//!
//! The incarnation of an entry that issues a permit is the only one that redeems it, so its memory
//! shows whether the permit was used, and no write is needed. The permit identifies the call: all
//! attempts of one call carry the same permit, and an idempotency key sent with it is ignored.

use std::{collections::VecDeque, fmt, str::FromStr, time::Duration};

use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Most permits that an entry remembers. Each 64 of them take 24 bytes.
pub const MAX_OPEN_PERMITS: usize = 65_536;
/// Shortest time for which a permit can be redeemed.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(600);
/// Permits in a block, one for each bit of [`PermitBlock::redeemed`].
const BLOCK_PERMITS: u64 = 64;
const MAX_BLOCKS: usize = MAX_OPEN_PERMITS / BLOCK_PERMITS as usize;

/// A single-use permit. As text: `node-incarnation-serial-mac`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The node and incarnation that issued the permit, which alone can redeem it.
    pub issuer: NodeIncarnation,
    /// Number of the permit, counted within the incarnation.
    pub serial: u64,
    /// Message authentication code over issuer, serial number and workspace.
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

/// Why a permit could not be parsed or issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The text is not a permit.
    Malformed,
    /// The entry remembers [`MAX_OPEN_PERMITS`] permits, and the oldest block of them is neither
    /// fully redeemed nor older than [`PERMIT_LIFETIME`].
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

/// The result of redeeming a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedeemOutcome {
    /// The request may run. Each permit gives this result once.
    Run,
    /// The permit was redeemed before or is too old to be remembered: answer `outcome_unknown`.
    AlreadyRedeemed,
    /// Another entry issued the permit and can redeem it: answer `outcome_unknown` with the address
    /// of that entry.
    IssuedElsewhere(NodeId),
    /// An earlier incarnation of this entry issued the permit, so it can no longer be redeemed:
    /// answer `outcome_unknown`.
    IssuerRestarted,
    /// No entry of the fleet issued the permit for this workspace: answer `not_run`.
    Invalid,
}

/// Issues and redeems the permits of one incarnation of an entry.
#[derive(Debug, Clone)]
pub struct PermitRegistry {
    own: NodeIncarnation,
    /// Key of the message authentication codes, shared by the fleet.
    key: [u8; 32],
    next_serial: u64,
    /// Invariant: blocks of consecutive serial numbers; the last one contains `next_serial - 1`.
    blocks: VecDeque<PermitBlock>,
}

/// Permits with consecutive serial numbers.
#[derive(Debug, Clone, Copy)]
struct PermitBlock {
    first_serial: u64,
    /// Bit `n` is set if the permit `first_serial + n` was redeemed.
    redeemed: u64,
    /// When the latest permit of the block was issued.
    last_issued: ClockTime,
}

impl PermitRegistry {
    /// Creates the registry of an incarnation. All entries of the fleet have the same `key`, so
    /// that each recognizes permits of the others.
    pub fn new(own: NodeIncarnation, key: [u8; 32]) -> PermitRegistry {
        PermitRegistry { own, key, next_serial: 0, blocks: VecDeque::new() }
    }

    /// Issues a permit for a workspace.
    ///
    /// # Errors
    ///
    /// [`PermitError::Full`] if no remembered permit can be forgotten.
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
        Ok(Permit { issuer: self.own, serial, mac: self.mac(self.own, serial, workspace) })
    }

    /// Redeems a permit, and marks it as redeemed if the result is [`RedeemOutcome::Run`].
    pub fn redeem(&mut self, permit: &Permit, workspace: &str) -> RedeemOutcome {
        // `blake3::Hash` is compared in constant time, which tells a forger nothing about the code.
        if permit.mac != self.mac(permit.issuer, permit.serial, workspace) {
            return RedeemOutcome::Invalid;
        }
        if permit.issuer.node != self.own.node {
            return RedeemOutcome::IssuedElsewhere(permit.issuer.node);
        }
        if permit.issuer.incarnation != self.own.incarnation {
            return RedeemOutcome::IssuerRestarted;
        }
        match self.find_block(permit.serial) {
            Some((block, bit)) if block.redeemed & bit == 0 => {
                block.redeemed |= bit;
                RedeemOutcome::Run
            }
            _ => RedeemOutcome::AlreadyRedeemed,
        }
    }

    /// Marks a permit as not redeemed. For requests of which no byte has left the entry.
    pub fn restore(&mut self, permit: &Permit) {
        if permit.issuer == self.own
            && let Some((block, bit)) = self.find_block(permit.serial)
        {
            block.redeemed &= !bit;
        }
    }

    /// Finds the block of a permit and the permit's bit in it.
    fn find_block(&mut self, serial: u64) -> Option<(&mut PermitBlock, u64)> {
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
