//! The router's decision logic, free of side effects.
//!
//! The library performs no I/O, reads no clock, starts no threads and draws randomness only from
//! generators that its callers pass. Programs feed it typed inputs with a [`clock::ClockTime`] and
//! perform the typed effects that it returns. The same code therefore runs in production, in table
//! tests, under a seeded scheduler and in trace replay.

pub mod admission;
pub mod arena;
mod cbor_u128;
pub mod claims;
pub mod clock;
pub mod ids;
pub mod lists;
pub mod membership;
pub mod orders;
pub mod overload;
pub mod plans;
pub mod prefix;
pub mod rendezvous;
pub mod routing;
pub mod streams;
pub mod suspects;
pub mod traffic;
