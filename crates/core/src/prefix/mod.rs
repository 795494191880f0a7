//! Knows which backend server holds which prompt prefix.
