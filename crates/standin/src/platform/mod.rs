//! Simulated parts of the users' platform: its store, and backend servers whose answers are given
//! byte by byte.

mod backend;
mod store;

pub use self::{
    backend::{BackendHandle, BackendResponse, RecordedRequest, start_backend},
    store::{StoreFault, StoreHandle, start_store},
};
