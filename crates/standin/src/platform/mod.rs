//! Simulators of the users' platform: its key-value store, backend servers that send scripted
//! responses byte for byte, and a network that loses datagrams.

mod backend;
mod datagrams;
mod store;

pub use self::{
    backend::{BackendHandle, BackendResponse, RecordedRequest, start_backend},
    datagrams::{DatagramLoss, DatagramRelay, start_datagram_relay},
    store::{StoreCopy, StoreFault, StoreHandle, start_store},
};
