//! Holds the accepted lists and never goes back to a lower version.
