//! Settings that entries and stewards have in common.

use std::net::SocketAddr;

use carobvane_core::ids::NodeId;
use url::Url;

use super::SettingsReader;
use crate::peer::FleetKey;

/// Checked settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Number of this node.
    pub id: NodeId,
    /// Data centre of this VM.
    pub data_centre: String,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Address for other carobvane processes.
    pub peer: SocketAddr,
    /// Processes to join.
    pub join: Vec<SocketAddr>,
    /// Secret of the fleet.
    pub fleet_key: FleetKey,
    /// Key-value service.
    pub keyvalue: Url,
    /// Least severe log level.
    pub log_level: log::LevelFilter,
}

/// The flags of [`NodeSettings`] as given.
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
    /// Reads the settings. Without a result, `reader` has the findings.
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
