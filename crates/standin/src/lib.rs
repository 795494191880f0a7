//! Simulated outside systems, met through their protocols on 127.0.0.1.
//!
//! Each stand-in runs inside the caller's actix system, listens on a port of the system's choice
//! and takes faults at run time, through its handle or through `POST /faults`. They imitate what
//! the router depends on: timing under load, bounded caches, late and lossy events, fencing,
//! rate limits and lost acknowledgements. They do not imitate models or storage.

pub mod engine;
pub mod keyvalue;
pub mod platform;
pub mod program;
pub mod service;
pub mod util;
pub mod vm_list;
pub mod weight_store;
