//! News reaches a failure domain that is larger than one host tells by itself.

#[path = "support/control.rs"]
mod control;

use control::{Installation, RunningHost, wait_until};
use jujubehold_host::metrics_page;
use jujubehold_settings::HostSettings;

/// More hosts than the one that begins tells directly.
const HOSTS: usize = 12;

async fn large_domain(installation: &Installation) -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for number in 0..HOSTS {
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
    wait_until("all have the first", have_first).await;
    hosts
}

fn relayed() -> u64 {
    let page = metrics_page::render();
    let prefix = "jujubehold_relayed_notifications_total ";
    page.lines()
        .find_map(|line| line.strip_prefix(prefix)?.parse().ok())
        .unwrap_or_default()
}

#[actix_rt::test]
async fn a_change_goes_through_several_hosts_also_past_a_dead_one() {
    metrics_page::install();
    let installation = Installation::start().await;
    let mut hosts = large_domain(&installation).await;
    let mut generation = 1;
    // Until a host knows all others it tells those that it knows.
    while relayed() == 0 {
        generation += 1;
        installation.submit(&installation.config(generation)).await;
        let have_all = || hosts.iter().all(|host| host.generation() == generation);
        wait_until("all have the change", have_all).await;
    }
    hosts.remove(HOSTS / 2).crash();
    generation += 1;
    installation.submit(&installation.config(generation)).await;
    let have_all = || hosts.iter().all(|host| host.generation() == generation);
    wait_until("all that live have the change", have_all).await;
}
