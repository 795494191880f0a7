//! Watches the platform's list of VMs, so that servers on a VM that is about to stop get no new
//! requests.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::Deserialize;
use url::Url;

use super::shared::EntryShared;

/// Interval between two reads. Together with the duration of a read it stays below the two seconds
/// within which a leaving server must stop getting new requests.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
struct ListedVm {
    state: String,
    addr: String,
}

/// Reads the list of VMs until the entry ends. If a read fails, the last result stays in force.
pub async fn watch_vms(shared: Arc<EntryShared>, url: Url) {
    let client = awc::Client::builder().timeout(READ_TIMEOUT).finish();
    let mut known = BTreeSet::new();
    loop {
        match read_leaving(&client, &url).await {
            Some(leaving) if leaving != known => {
                for server in leaving.symmetric_difference(&known) {
                    let leaves = leaving.contains(server);
                    log::info!(address = server, leaves; "VM of a server changed its leaving state");
                }
                shared.set_leaving(leaving.clone());
                known = leaving;
            }
            Some(_) => {}
            None => log::warn!(url:% = url; "failed to read the list of VMs"),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read_leaving(client: &awc::Client, url: &Url) -> Option<BTreeSet<String>> {
    let mut response = client.get(url.as_str()).send().await.ok()?;
    let vms: Vec<ListedVm> = response.json().await.ok()?;
    Some(vms.into_iter().filter(|vm| vm.state == "leaving").map(|vm| vm.addr).collect())
}
