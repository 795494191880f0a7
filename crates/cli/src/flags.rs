//! Command-line flags. Their doc comments are the text of `--help`.
//!
//! `missing_docs` is off, because the macro generates types without documentation.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, applies and shows the operators' lists of a carobvane deployment.
    ///
    /// Exit codes: 0 ok; 1 findings, or nothing found; 2 usage; 3 conflict with another change;
    /// 4 not in force in time; 5 service unreachable.
    cmd carobvane {
        /// URL of the key-value service's JSON gateway (CAROBVANE_KEYVALUE). Required by commands
        /// that read or write accepted lists.
        optional --keyvalue url: String
        /// Admin URLs of all entries and stewards, separated by commas (CAROBVANE_ENTRIES). Required
        /// by `apply`, `revert`, `status`, `why` and `drain`; `plan` asks them for current use.
        optional --entries urls: String
        /// Timeout of one call, in milliseconds (CAROBVANE_CALL_TIMEOUT_MS). Default: 1000.
        optional --call-timeout-ms milliseconds: String
        /// Maximum time to wait until a change is in force or a drain has ended, in seconds
        /// (CAROBVANE_WAIT_SECONDS). Default: 30.
        optional --wait-seconds seconds: String
        /// Print JSON instead of text. Default: text.
        optional --json

        /// Check the lists in a folder and print all findings.
        cmd check {
            /// Folder with plans.toml, grants.toml and fleet.toml.
            required dir: PathBuf
        }
        /// Show what the lists in a folder would change, and record the version compared with.
        cmd plan {
            /// Folder with plans.toml, grants.toml and fleet.toml.
            required dir: PathBuf
        }
        /// Accept the lists in a folder as planned and wait until they are in force everywhere.
        cmd apply {
            /// Folder with plans.toml, grants.toml and fleet.toml.
            required dir: PathBuf
            /// Version that the change was planned against, instead of the one that `plan`
            /// recorded in the folder.
            optional --base version: u64
        }
        /// Print accepted lists as TOML.
        cmd show {
            /// Version to print instead of the latest.
            optional version: u64
        }
        /// List accepted changes, latest first.
        cmd history {
            /// Maximum number of changes to list. Default: 20.
            optional --limit count: u64
        }
        /// Compare two versions or folders.
        cmd diff {
            /// Version number, `head` or folder.
            required before: String
            /// Version number, `head` or folder.
            required after: String
        }
        /// Accept an earlier version's lists as a new version and wait until they are in force.
        cmd revert {
            /// Version whose lists are accepted again.
            required version: u64
        }
        /// Show the state of all nodes, servers and workspaces.
        cmd status {}
        /// Show which servers were considered and chosen for a request, and why.
        cmd why {
            /// Id of the request, from the `x-request-id` header of its response.
            required request_id: String
        }
        /// Print the log lines of a request from the log files of one or more nodes, in order of
        /// time.
        cmd trace {
            /// Id of the request.
            required request_id: String
            /// Files with JSON log lines; the last word before the JSON is printed as the node.
            repeated files: PathBuf
        }
        /// Drain an entry, which then leaves discovery, redirects new requests and finishes those
        /// in progress, and wait until it has.
        cmd drain {
            /// Name of the entry in the lists, its node number or its admin URL.
            required entry: String
            /// Return as soon as the drain has started.
            optional --no-wait
        }
        /// Read a key from standard input and print its hash.
        cmd hash-key {}
        /// Print a completion script.
        cmd completions {
            /// `bash`, `zsh` or `fish`.
            required shell: String
        }
    }
}
