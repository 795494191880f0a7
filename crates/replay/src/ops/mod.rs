//! One function per command.

pub mod check;
pub mod generate;
