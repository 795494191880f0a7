//! Classifies errors of sending by whether the request can have reached its server.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether an error proves that no byte of the request was sent.
///
/// awc reports a connection that the server closes after the request as `Connect(Disconnected)`.
/// For this reason the errors that occur while a connection is made are listed one by one.
pub fn is_not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => matches!(
            cause,
            ConnectError::Io(_)
                | ConnectError::Timeout
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
        ),
        _ => false,
    }
}
