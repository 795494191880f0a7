//! Messages that processes exchange, as typed data without I/O.
//!
//! Messages to callers, engines and the key-value service follow published formats; those between
//! carobvane processes are specific to this project.

pub mod admin;
pub mod engine;
pub mod headers;
pub mod keyvalue;
pub mod openai;
pub mod peer;
