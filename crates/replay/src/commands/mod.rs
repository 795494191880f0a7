//! One function per command.

pub mod check;
pub mod compare;
pub mod generate;
pub mod run;
