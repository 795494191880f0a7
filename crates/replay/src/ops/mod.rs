//! One function per command.

pub mod check;
