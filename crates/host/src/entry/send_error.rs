//! Whether a failed request can have reached its server.

use awc::error::{ConnectError, SendRequestError};

/// Whether the error proves that no byte of the request left this process.
///
/// awc reports a connection that the server closes after the request as
/// `Connect(Disconnected)`, so the errors of making a connection are named one by one.
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
