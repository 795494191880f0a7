//! Runs every non-idempotent request at most once.
