//! Clock of a node. It includes the time for which the VM is suspended, so that a lease or a KV
//! cache record does not look younger than it is after a suspension.

use carobvane_core::clock::ClockTime;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including suspensions.
pub fn now() -> ClockTime {
    // Linux has had this clock since 2.6.39; the call fails only for an unknown clock id.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock exists on Linux");
    ClockTime::from_micros(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000)
}
