//! Tests that start the built programs as separate processes and kill, suspend and restart them.

mod entries;
mod fleet;
mod program;
