//! The commands of `carobvane-replay`, one module each.

pub mod check;
pub mod compare;
pub mod generate;
pub mod run;
