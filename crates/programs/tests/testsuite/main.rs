//! Tests of the built programs, one file per command or scenario.
mod operators;
mod processes;
