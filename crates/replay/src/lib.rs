//! Replay of traces, checks of histories and benchmarks.

pub mod bench;
