//! What entries and stewards have in common: the actor that runs list replication and membership.

mod actor;
pub mod source;

pub use actor::{NodeActor, NodeHandler};
pub use source::{
    HEAD_KEY, ListSource, SNAPSHOT_INTERVAL, change_key, decode_stored, encode_stored, snapshot_key,
};
