//! The decision library.
//!
//! It performs no I/O, reads no clock, starts no thread and draws randomness only from a
//! generator that it is given. Programs feed it typed inputs with a [`clock::ClockTime`] and carry
//! out the typed effects it returns, so the same code runs in the programs, in table tests, under
//! a seeded scheduler and in trace replay.

pub mod admission;
pub mod arena;
pub mod claims;
pub mod clock;
pub mod ids;
pub mod lists;
pub mod membership;
pub mod orders;
pub mod plans;
pub mod prefix;
pub mod rendezvous;
pub mod routing;
pub mod streams;
pub mod suspects;
pub mod traffic;
