//! The clock of a node. It counts the time that the VM is suspended, so that a lease or a belief
//! does not look younger than it is after a suspension.

use carobvane_core::clock::ClockTime;
use nix::time::{ClockId, clock_gettime};

/// Time since the VM's start, with suspensions.
pub fn now() -> ClockTime {
    // Linux has had this clock since 2.6.39; the call fails only for an unknown clock id.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock is always there");
    ClockTime::from_micros(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000)
}
