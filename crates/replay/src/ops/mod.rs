//! One module for each subcommand of `carobvane-replay`.

pub mod generate;
