//! Settings of `carobvane-entry`.

use std::net::SocketAddr;

use url::Url;

use super::{NodeSettings, SettingError, SettingsReader, node::NodeFlags};

/// Default of `--max-body-bytes`, in bytes.
const DEFAULT_BODY_BYTES: usize = 8 << 20;
/// Default of `--piece-bytes`: 2,000 tokens of about 4 bytes each.
const DEFAULT_PIECE_BYTES: usize = 8_000;
/// Default of `--piece-tokens`.
const DEFAULT_PIECE_TOKENS: u32 = 2_000;
/// Default of `--workers`, in threads.
const DEFAULT_WORKERS: usize = 4;

xflags::xflags! {
    /// Serves callers: routes completions to model engines and calls to plain services.
    ///
    /// Each flag can be given as a variable: --max-body-bytes as CAROBVANE_MAX_BODY_BYTES.
    /// The flag takes precedence.
    cmd entry-flags {
        /// Number of this node, unique among entries and stewards. Required.
        optional --node number: String
        /// Name of the data centre this VM is in. Required.
        optional --data-centre name: String
        /// Address for callers, such as 127.0.0.1:8080. Required.
        optional --listen address: String
        /// Address for operators and metrics, such as 127.0.0.1:9080. Required.
        optional --admin address: String
        /// Address for other carobvane processes (UDP), such as 127.0.0.1:7080. Required.
        optional --peer address: String
        /// Addresses of other carobvane processes to join, separated by commas. Default: none.
        optional --join addresses: String
        /// Secret that all processes of the fleet share: 64 hexadecimal digits. Required;
        /// prefer the variable, since flags are visible in process lists.
        optional --fleet-key key: String
        /// URL of the key-value service, such as http://127.0.0.1:2379. Required.
        optional --keyvalue url: String
        /// URL of the list of live and leaving VMs. Default: none.
        optional --vm-list url: String
        /// Maximum size of a request body, in bytes. Default: 8388608.
        optional --max-body-bytes bytes: String
        /// Size of a prompt piece, in bytes of text. Default: 8000.
        optional --piece-bytes bytes: String
        /// Size of a prompt piece, in tokens. Default: 2000.
        optional --piece-tokens tokens: String
        /// Number of threads that serve callers. Default: 4.
        optional --workers threads: String
        /// Whether no earlier process of this node ran in the last two minutes, such as on a new
        /// VM. If true, its plan shares are usable at once. Default: false.
        optional --fresh fresh: String
        /// Least severe log level: error, warn, info or debug. Default: info.
        optional --log-level level: String
        /// Prints the version.
        optional --version
    }
}

/// Validated settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings shared with stewards.
    pub node: NodeSettings,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// URL of the list of live and leaving VMs.
    pub vm_list: Option<Url>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Size of a prompt piece, in bytes of text.
    pub piece_bytes: usize,
    /// Size of a prompt piece, in tokens.
    pub piece_tokens: u32,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Whether no earlier process of this node ran in the last two minutes, so that its plan shares
    /// are usable at once.
    pub fresh: bool,
}

impl EntrySettings {
    /// Reads the command line and environment of this process; exits if a setting is invalid or the
    /// version is asked for.
    pub fn from_env_or_exit() -> EntrySettings {
        let flags = EntryFlags::from_env_or_exit();
        if flags.version {
            println!("carobvane-entry {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        EntrySettings::read(flags, |name| std::env::var(name).ok())
            .unwrap_or_else(|errors| super::exit_with_errors(&errors))
    }

    /// Reads the settings from flags and from the environment variables that `lookup` returns.
    ///
    /// # Errors
    ///
    /// Returns the errors of all settings.
    pub fn read(
        flags: EntryFlags,
        lookup: impl Fn(&str) -> Option<String>,
    ) -> Result<EntrySettings, Vec<SettingError>> {
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
        let listen = reader.required("listen", flags.listen);
        let vm_list = reader.optional("vm-list", flags.vm_list);
        let max_body_bytes =
            reader.with_default("max-body-bytes", flags.max_body_bytes, DEFAULT_BODY_BYTES);
        let piece_bytes =
            reader.with_default("piece-bytes", flags.piece_bytes, DEFAULT_PIECE_BYTES);
        let piece_tokens =
            reader.with_default("piece-tokens", flags.piece_tokens, DEFAULT_PIECE_TOKENS);
        let workers = reader.with_default("workers", flags.workers, DEFAULT_WORKERS);
        let fresh = reader.with_default("fresh", flags.fresh, false);
        for (flag, value) in [
            ("max-body-bytes", max_body_bytes),
            ("piece-bytes", piece_bytes),
            ("piece-tokens", piece_tokens as usize),
            ("workers", workers),
        ] {
            if value == 0 {
                reader.add_error(flag, "must be at least 1");
            }
        }
        reader.finish()?;
        let (Some(node), Some(listen)) = (node, listen) else {
            unreachable!("missing required settings are reported as errors");
        };
        Ok(EntrySettings {
            node,
            listen,
            vm_list,
            max_body_bytes,
            piece_bytes,
            piece_tokens,
            workers,
            fresh,
        })
    }
}
