//! Command-line flags.
//!
//! The macro generates types without documentation; the flags themselves are documented.
#![allow(missing_docs)]

use log::LevelFilter;

xflags::xflags! {
    /// Serves clients, answers directory queries and orders servers to load weights, on an entry VM
    /// of the platform.
    ///
    /// Addresses and bounds come from the settings file that the platform writes; see
    /// docs/OPERATIONS.md. Exit codes: 0 ok; 1 failed; 2 the settings or the flags are invalid.
    cmd carobvane-node {
        /// Check the settings file, print all errors and exit. Default: off.
        optional --check
        /// Least severe level that is logged: error, warn, info, debug. Default: info.
        optional --log-level level: LevelFilter
        /// Print the version and exit.
        optional --version
    }
}
