//! Names of HTTP headers.

/// Id of a request in logs; accepted from the caller and returned in the response.
pub const REQUEST_ID: &str = "x-request-id";
/// Id of one attempt to run a request on one backend server.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Weights version that an engine must hold to serve the request.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Incarnation of the process that responds; higher after every restart.
pub const INCARNATION: &str = "x-incarnation";
/// Identifies one logical call of a non-idempotent request, so that repeats do not run it again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Single-use permit for a non-idempotent request.
pub const PERMIT: &str = "x-permit";
/// `true` on a response that was stored for an earlier request with the same idempotency key.
pub const REPLAYED: &str = "idempotent-replayed";
/// Whether the request ran: `not_run` or `outcome_unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Fencing number of an order; an engine rejects a number lower than one it has seen.
pub const FENCING_NUMBER: &str = "x-fencing-number";
