//! The messages that processes exchange, as typed data without I/O.
//!
//! Towards callers, engines and the key-value service these are the published shapes; between our
//! own processes they are ours.

pub mod admin;
pub mod engine;
pub mod headers;
pub mod keyvalue;
pub mod openai;
pub mod peer;
