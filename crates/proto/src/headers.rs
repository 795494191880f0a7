//! Header names, in one place.

/// Names a request in logs; accepted from callers and returned to them.
pub const REQUEST_ID: &str = "x-request-id";
/// One attempt at a request on one backend server.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// The weights version that an engine must hold to answer.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// The life of the process that answers.
pub const INCARNATION: &str = "x-incarnation";
/// Names one logical call of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// A single-use permit for a non-idempotent request.
pub const PERMIT: &str = "x-permit";
/// `true` on an answer that was stored for an earlier request with the same key.
pub const REPLAYED: &str = "idempotent-replayed";
/// Whether the request ran: `not_run` or `outcome_unknown`.
pub const OUTCOME: &str = "x-outcome";
/// The fencing number of an order.
pub const FENCING_NUMBER: &str = "x-fencing-number";
