//! What entries and stewards have in common: the actor that hosts list spread and membership.

mod actor;
mod source;

pub use actor::{NodeActor, NodeHost};
pub use source::ListSource;
