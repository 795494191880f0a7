//! Replay of recorded traces and scripted scenarios against stated outcomes.

pub mod deployment;
pub mod generate;
pub mod ops;
pub mod report;
pub mod stats;
pub mod trace;
