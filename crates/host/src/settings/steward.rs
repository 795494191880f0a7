//! Settings of `carobvane-steward`.

use super::{NodeSettings, SettingError, SettingsReader, node::NodeFlags};

/// Default of `--max-loads`: with more than 2 loads at once, the weight store slows down.
const DEFAULT_MAX_LOADS: usize = 2;

xflags::xflags! {
    /// Runs on an entry VM: keeps the accepted lists and the members, and sends orders to backend
    /// servers.
    ///
    /// Each flag can be given as a variable: --data-centre as CAROBVANE_DATA_CENTRE.
    /// The flag takes precedence.
    cmd steward-flags {
        /// Number of this node, unique among entries and stewards. Required.
        optional --node number: String
        /// Name of the data centre this VM is in. Required.
        optional --data-centre name: String
        /// Address for operators and metrics, such as 127.0.0.1:9090. Required.
        optional --admin address: String
        /// Address for other carobvane processes (UDP), such as 127.0.0.1:7090. Required.
        optional --peer address: String
        /// Addresses of other carobvane processes to join, separated by commas. Default: none.
        optional --join addresses: String
        /// Secret that all processes of the fleet share: 64 hexadecimal digits. Required;
        /// prefer the variable, since flags are visible in process lists.
        optional --fleet-key key: String
        /// URL of the key-value service, such as http://127.0.0.1:2379. Required.
        optional --keyvalue url: String
        /// Maximum number of weight loads that orders cause at once. Default: 2.
        optional --max-loads loads: String
        /// Least severe log level: error, warn, info or debug. Default: info.
        optional --log-level level: String
        /// Prints the version.
        optional --version
    }
}

/// Validated settings of a steward.
#[derive(Debug, Clone)]
pub struct StewardSettings {
    /// Settings shared with entries.
    pub node: NodeSettings,
    /// Maximum number of weight loads that orders cause at once.
    pub max_loads: usize,
}

impl StewardSettings {
    /// Reads the command line and environment of this process; exits if a setting is invalid or the
    /// version is asked for.
    pub fn from_env_or_exit() -> StewardSettings {
        let flags = StewardFlags::from_env_or_exit();
        if flags.version {
            println!("carobvane-steward {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        StewardSettings::read(flags, |name| std::env::var(name).ok())
            .unwrap_or_else(|errors| super::exit_with_errors(&errors))
    }

    /// Reads the settings from flags and from the environment variables that `lookup` returns.
    ///
    /// # Errors
    ///
    /// Returns the errors of all settings.
    pub fn read(
        flags: StewardFlags,
        lookup: impl Fn(&str) -> Option<String>,
    ) -> Result<StewardSettings, Vec<SettingError>> {
        let mut reader = SettingsReader::new(lookup);
        let node = NodeSettings::read(
            &mut reader,
            NodeFlags {
                node: flags.node,
                data_centre: flags.data_centre,
                admin: flags.admin,
                peer: flags.peer,
                join: flags.join,
                fleet_key: flags.fleet_key,
                keyvalue: flags.keyvalue,
                log_level: flags.log_level,
            },
        );
        let max_loads = reader.with_default("max-loads", flags.max_loads, DEFAULT_MAX_LOADS);
        if max_loads == 0 {
            reader.add_error("max-loads", "must be at least 1");
        }
        reader.finish()?;
        let Some(node) = node else {
            unreachable!("missing required settings are reported as errors");
        };
        Ok(StewardSettings { node, max_loads })
    }
}
