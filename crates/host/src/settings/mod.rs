//! Settings of the programs, from flags and `CAROBVANE_*` environment variables.
//!
//! A flag takes precedence over its variable. All errors are reported together, so that one start
//! shows everything that has to be corrected.

mod entry;
mod node;
mod reader;
mod steward;

pub use entry::EntrySettings;
pub use node::NodeSettings;
pub use reader::{SettingError, SettingsReader, variable_name};
pub use steward::StewardSettings;

/// Exit code of a program whose settings are invalid.
pub const SETTINGS_EXIT_CODE: i32 = 2;

/// Prints all errors to standard error and exits with [`SETTINGS_EXIT_CODE`].
pub fn exit_with_errors(errors: &[SettingError]) -> ! {
    for error in errors {
        eprintln!("error: {error}");
    }
    std::process::exit(SETTINGS_EXIT_CODE);
}
