//! Simulators of the users' platform: its key-value store, backend servers that send scripted
//! responses byte for byte, a network that loses datagrams, and links that are cut.

mod backend;
mod datagrams;
mod link;
mod store;

pub use self::{
    backend::{
        BackendHandle, BackendResponse, RecordedRequest, ResponseScript, start_backend,
        start_scripted_backend,
    },
    datagrams::{DatagramLoss, DatagramRelay, start_datagram_relay},
    link::{LinkFault, LinkHandle, start_link},
    store::{StoreCopy, StoreFault, StoreHandle, start_store},
};
