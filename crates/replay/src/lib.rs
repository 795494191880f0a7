//! Replays recorded traces and scripted scenarios against simulated servers, compares routing
//! policies, checks state machines on seeded histories, and runs benchmarks.

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
