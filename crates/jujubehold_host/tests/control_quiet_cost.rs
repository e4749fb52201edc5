//! The cost of exchanges between hosts while nothing changes.

#[path = "support/control.rs"]
mod control;

use control::{Installation, RunningHost, wait_until};
use jujubehold_host::metrics_page;
use jujubehold_settings::HostSettings;

/// The number of consecutive exchanges that are averaged.
const EXCHANGE_COUNT: u64 = 12;
/// The maximum average size of such an exchange, in bytes.
const MAX_AVERAGE_BYTES: u64 = 150;

/// Returns the value of a counter of exchanges.
fn counter(name: &str) -> u64 {
    let page = metrics_page::render();
    let prefix = format!("{name}{{kind=\"exchange\"}} ");
    page.lines()
        .find_map(|line| line.strip_prefix(&prefix)?.parse().ok())
        .unwrap_or_default()
}

#[actix_rt::test]
async fn exchanges_of_hosts_with_the_same_state_take_few_bytes() {
    metrics_page::install();
    let installation = Installation::start().await;
    let mut hosts: Vec<RunningHost> = Vec::new();
    for (name, domain) in [
        ("host-1", "delta"),
        ("host-2", "delta"),
        ("host-3", "piedmont"),
        ("host-4", "gulf"),
    ] {
        let settings = HostSettings {
            peer_seeds: hosts.first().map(RunningHost::seed).into_iter().collect(),
            ..installation.settings(name, domain)
        };
        let host = RunningHost::start(settings).await;
        installation
            .list_host(name, domain, host.peer_address)
            .await;
        hosts.push(host);
    }
    let mut start = (0, 0);
    let has_small_window = || {
        let now = (
            counter("jujubehold_control_messages_sent_total"),
            counter("jujubehold_control_sent_bytes_total"),
        );
        let (count, bytes) = (now.0 - start.0, now.1 - start.1);
        if count < EXCHANGE_COUNT {
            return false;
        }
        start = now;
        bytes / count <= MAX_AVERAGE_BYTES
    };
    wait_until("exchanges hold only digests", has_small_window).await;
}
