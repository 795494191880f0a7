//! Simulators of the users' platform: its key-value store, and backend servers that send scripted
//! responses byte for byte.

mod backend;
mod store;

pub use self::{
    backend::{BackendHandle, BackendResponse, RecordedRequest, start_backend},
    store::{StoreFault, StoreHandle, start_store},
};
