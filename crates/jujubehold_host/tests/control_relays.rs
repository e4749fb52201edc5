//! Notifications reach all hosts of a failure domain that is too large for direct notification.

#[path = "support/control.rs"]
mod control;

use control::{Installation, RunningHost, wait_until};
use jujubehold_host::metrics_page;
use jujubehold_settings::HostSettings;

/// More hosts than the origin of a notification sends it to directly.
const HOST_COUNT: usize = 12;

async fn large_domain(installation: &Installation) -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for number in 0..HOST_COUNT {
        let settings = HostSettings {
            peer_seeds: hosts.first().map(RunningHost::seed).into_iter().collect(),
            ..installation.settings(&format!("host-{number:02}"), "delta")
        };
        let host = RunningHost::start(settings).await;
        installation
            .list_host(&host.name, "delta", host.peer_address)
            .await;
        hosts.push(host);
    }
    let have_first = || hosts.iter().all(|host| host.generation() == 1);
    wait_until("all hosts have generation 1", have_first).await;
    hosts
}

fn relayed_count() -> u64 {
    let page = metrics_page::render();
    let prefix = "jujubehold_relayed_notifications_total ";
    page.lines()
        .find_map(|line| line.strip_prefix(prefix)?.parse().ok())
        .unwrap_or_default()
}

#[actix_rt::test]
async fn a_change_is_relayed_over_several_hosts_and_past_a_dead_one() {
    metrics_page::install();
    let installation = Installation::start().await;
    let mut hosts = large_domain(&installation).await;
    let mut generation = 1;
    // Until a host knows all others, it notifies only those that it knows.
    while relayed_count() == 0 {
        generation += 1;
        installation.submit(&installation.config(generation)).await;
        let have_all = || hosts.iter().all(|host| host.generation() == generation);
        wait_until("all hosts have the change", have_all).await;
    }
    hosts.remove(HOST_COUNT / 2).crash();
    generation += 1;
    installation.submit(&installation.config(generation)).await;
    let have_all = || hosts.iter().all(|host| host.generation() == generation);
    wait_until("all live hosts have the change", have_all).await;
}
