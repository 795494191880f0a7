//! Simulators of the external systems that the router talks to, for tests and the demonstration.
//!
//! Each simulator runs inside the caller's actix system and serves its real protocol on 127.0.0.1,
//! by default on an ephemeral port. Faults are injected at run time, through its handle or, for
//! engines, plain services and the key-value service, through `POST /faults`. The simulators
//! reproduce the behaviour that the router depends on: timing under load, bounded caches, delayed
//! and lost events, fencing, rate limits and lost acknowledgements. They run no models and store
//! nothing on disk.

pub mod engine;
pub mod keyvalue;
pub mod platform;
pub mod program;
pub mod service;
pub mod util;
pub mod vm_list;
pub mod weight_store;
