//! Replay of recorded traces and scripted scenarios against stated outcomes, checks of histories
//! and benchmarks.

pub mod bench;
pub mod check;
pub mod client;
pub mod commands;
pub mod compare;
pub mod demo;
pub mod deployment;
pub mod fleet;
pub mod generate;
pub mod latency;
pub mod program;
pub mod report;
pub mod scenario;
pub mod stats;
pub mod trace;
