//! Replay of recorded traces and scripted scenarios against stated outcomes, checks of histories
//! and benchmarks.

pub mod check;
pub mod compare;
pub mod deployment;
pub mod generate;
pub mod ops;
pub mod program;
pub mod report;
pub mod stats;
pub mod trace;
