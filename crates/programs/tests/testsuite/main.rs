//! Tests of the programs and of the pages that document their flags and metrics; one file for each
//! command or scenario.
mod metrics;
mod operators;
mod processes;
