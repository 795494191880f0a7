//! Parts that entries and stewards share: list replication through the key-value service and peers,
//! and the actor that runs it and passes peer events to the program.

mod actor;
pub mod source;

pub use actor::{NodeActor, NodeHandler};
pub use source::{
    HEAD_KEY, ListSource, SNAPSHOT_INTERVAL, change_key, decode_stored, encode_stored, snapshot_key,
};
