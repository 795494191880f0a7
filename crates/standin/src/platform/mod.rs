//! Simulators of the users' platform: its key-value store, backend servers that send scripted
//! responses byte for byte, a network that loses datagrams, and links that are cut; and documents in its formats.

mod backend;
mod datagrams;
mod documents;
mod link;
mod store;

pub use self::{
    backend::{
        BackendHandle, BackendResponse, RecordedRequest, ResponseScript, start_backend,
        start_scripted_backend,
    },
    datagrams::{DatagramLoss, DatagramRelay, start_datagram_relay},
    documents::{
        ClientLimitsDocument, ROUTE_HOST, RouteDocument, config_key, machine_limits, node_config,
        node_settings_file, request_head, response_head, server_entry,
    },
    link::{LinkFault, LinkHandle, start_link},
    store::{StoreCopy, StoreFault, StoreHandle, start_store},
};
