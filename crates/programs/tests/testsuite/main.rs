//! Tests of the built programs, one file per command or scenario.
mod metrics;
mod operators;
mod processes;
