//! The operators' program.
pub mod flags;
