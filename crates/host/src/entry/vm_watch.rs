//! Follows the platform's list of VMs: a server on a leaving VM gets no new work.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::Deserialize;
use url::Url;

use super::shared::EntryShared;

/// Time between two reads. With the time of a read it stays under the two seconds within which a
/// leaving server must get no new work.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct ListedVm {
    state: String,
    addr: String,
}

/// Reads the list until the entry ends. A read that fails changes nothing.
pub async fn watch_vms(shared: Arc<EntryShared>, url: Url) {
    let client = awc::Client::builder().timeout(READ_TIMEOUT).finish();
    let mut known = BTreeSet::new();
    loop {
        match read_leaving(&client, &url).await {
            Some(leaving) if leaving != known => {
                for server in leaving.symmetric_difference(&known) {
                    let leaves = leaving.contains(server);
                    log::info!(address = server, leaves; "server leaves or stays");
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
