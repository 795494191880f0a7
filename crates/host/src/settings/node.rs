//! Settings shared by entries and stewards.

use std::net::SocketAddr;

use carobvane_core::ids::NodeId;
use url::Url;

use super::SettingsReader;
use crate::peer::FleetKey;

/// Validated settings shared by all nodes.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Number of this node, unique among entries and stewards.
    pub id: NodeId,
    /// Name of the data centre that this VM is in.
    pub data_centre: String,
    /// Listening address for operators and metrics.
    pub admin: SocketAddr,
    /// Listening address for other carobvane processes (UDP).
    pub peer: SocketAddr,
    /// Peer addresses of other processes to connect to at the start.
    pub join: Vec<SocketAddr>,
    /// Secret shared by all processes of the fleet.
    pub fleet_key: FleetKey,
    /// Base URL of the key-value service.
    pub keyvalue: Url,
    /// Least severe log level.
    pub log_level: log::LevelFilter,
}

/// Unparsed flags of [`NodeSettings`]; `None` if a flag is not given.
pub(super) struct NodeFlags {
    pub(super) node: Option<String>,
    pub(super) data_centre: Option<String>,
    pub(super) admin: Option<String>,
    pub(super) peer: Option<String>,
    pub(super) join: Option<String>,
    pub(super) fleet_key: Option<String>,
    pub(super) keyvalue: Option<String>,
    pub(super) log_level: Option<String>,
}

impl NodeSettings {
    /// Reads the settings. If it returns `None`, `reader` holds the errors.
    pub(super) fn read<F>(reader: &mut SettingsReader<F>, flags: NodeFlags) -> Option<NodeSettings>
    where
        F: Fn(&str) -> Option<String>,
    {
        let id = reader.required("node", flags.node).map(NodeId);
        let data_centre = reader.required("data-centre", flags.data_centre);
        let admin = reader.required("admin", flags.admin);
        let peer = reader.required("peer", flags.peer);
        let join = reader.comma_separated("join", flags.join);
        let fleet_key = reader.required("fleet-key", flags.fleet_key);
        let keyvalue = reader.required("keyvalue", flags.keyvalue);
        let log_level = reader.with_default("log-level", flags.log_level, log::LevelFilter::Info);
        Some(NodeSettings {
            id: id?,
            data_centre: data_centre?,
            admin: admin?,
            peer: peer?,
            join,
            fleet_key: fleet_key?,
            keyvalue: keyvalue?,
            log_level,
        })
    }
}
