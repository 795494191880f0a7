//! Working memory of a prefix lookup, reused between lookups.

/// Prefix of the looked-up chain that one server holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The server's number in the index.
    pub server: u16,
    /// Number of leading pieces that the server holds without a gap.
    pub pieces: u16,
    /// Number of pieces in `pieces` whose records are uncertain.
    pub uncertain: u16,
}

/// A range of consecutive pieces of a chain.
#[derive(Debug, Clone, Copy)]
pub(super) struct PieceSpan {
    pub(super) first: usize,
    pub(super) count: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct HolderMark {
    stamp: u32,
    position: u32,
}

/// Working memory and result of [`BlockIndex::lookup`](super::BlockIndex::lookup).
#[derive(Debug, Clone, Default)]
pub struct HolderScratch {
    /// Position of each server in `holders`, by server number. Marks of earlier lookups have an
    /// older stamp, so they need not be cleared.
    marks: Vec<HolderMark>,
    stamp: u32,
    holders: Vec<PrefixHolder>,
}

impl HolderScratch {
    /// Creates working memory for `servers` server numbers.
    pub fn new(servers: usize) -> HolderScratch {
        let mut scratch = HolderScratch::default();
        scratch.reserve(servers);
        scratch
    }

    /// Makes room for `servers` server numbers.
    pub fn reserve(&mut self, servers: usize) {
        if self.marks.len() < servers {
            self.marks.resize(servers, HolderMark::default());
        }
        self.holders.reserve(super::MAX_HOLDERS);
    }

    /// Returns the holders that the last lookup found, in no particular order.
    pub fn holders(&self) -> &[PrefixHolder] {
        &self.holders
    }

    pub(super) fn begin(&mut self) {
        self.holders.clear();
        self.stamp = self.stamp.wrapping_add(1);
        if self.stamp == 0 {
            self.marks.fill(HolderMark::default());
            self.stamp = 1;
        }
    }

    /// Records that `server` holds a span of pieces. Returns whether this extends the server's
    /// prefix.
    pub(super) fn extend(&mut self, server: u16, span: PieceSpan, uncertain: bool) -> bool {
        let Some(mark) = self.marks.get_mut(server as usize) else { return false };
        let count = span.count as u16;
        let uncertain_count = if uncertain { count } else { 0 };
        if mark.stamp == self.stamp {
            let holder = &mut self.holders[mark.position as usize];
            if usize::from(holder.pieces) != span.first {
                return false;
            }
            holder.pieces += count;
            holder.uncertain += uncertain_count;
            return true;
        }
        if span.first != 0 {
            return false;
        }
        *mark = HolderMark { stamp: self.stamp, position: self.holders.len() as u32 };
        self.holders.push(PrefixHolder { server, pieces: count, uncertain: uncertain_count });
        true
    }
}
