//! Tests of the built programs as separate processes that are killed, frozen and restarted.

mod entries;
mod fleet;
mod program;
