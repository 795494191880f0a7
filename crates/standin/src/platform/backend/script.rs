//! Scripted responses of backend servers.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use super::BackendResponse;
use crate::util::lock;

/// Responses to the next requests, one each. Clones share them, so several servers can send the
/// responses of one script in the order in which they are asked.
#[derive(Debug, Clone, Default)]
pub struct ResponseScript {
    responses: Arc<Mutex<VecDeque<BackendResponse>>>,
}

impl ResponseScript {
    /// Adds responses at the end.
    pub fn extend(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        lock(&self.responses).extend(responses);
    }

    /// Discards the responses that are left and puts others in their place.
    pub fn replace(&self, responses: impl IntoIterator<Item = BackendResponse>) {
        *lock(&self.responses) = responses.into_iter().collect();
    }

    /// Returns the next response; `None` if none is left.
    pub(super) fn peek(&self) -> Option<BackendResponse> {
        lock(&self.responses).front().cloned()
    }

    /// Takes the next response; `None` if none is left.
    pub(super) fn take(&self) -> Option<BackendResponse> {
        lock(&self.responses).pop_front()
    }
}
