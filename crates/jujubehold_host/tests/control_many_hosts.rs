//! Several hosts in several failure domains act consistently.

#[path = "support/control.rs"]
mod control;

use control::{Installation, RunningHost, wait_until};
use jujubehold_core::ownership::{DomainHosts, WATCHERS_PER_DOMAIN, group_watchers};
use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;
use jujubehold_standin::database::Database;
use jujubehold_standin::platform::Outage;

const DOMAINS: [&str; 3] = ["delta", "piedmont", "gulf"];

/// Starts `per_domain` hosts in each domain and adds them to the platform's list.
async fn hosts(installation: &Installation, per_domain: usize) -> Vec<RunningHost> {
    let mut hosts: Vec<RunningHost> = Vec::new();
    for domain in DOMAINS {
        for number in 0..per_domain {
            let settings = HostSettings {
                peer_seeds: hosts.first().map(RunningHost::seed).into_iter().collect(),
                ..installation.settings(&format!("{domain}-{number}"), domain)
            };
            let host = RunningHost::start(settings).await;
            installation
                .list_host(&host.name, domain, host.peer_address)
                .await;
            hosts.push(host);
        }
    }
    let know_all = || {
        hosts.iter().all(|host| {
            let route = host.route();
            route.is_some_and(|route| {
                let counts = route.owners.values().map(Vec::len);
                counts.sum::<usize>() == DOMAINS.len() * per_domain.min(2)
            })
        })
    };
    wait_until("every host knows every owner", know_all).await;
    let know_primary = || hosts.iter().all(|host| host.primary().is_some());
    wait_until("every host knows the primary", know_primary).await;
    hosts
}

fn agree_on_new_primary(hosts: &[RunningHost]) -> bool {
    let first = hosts[0].primary();
    first.as_ref().is_some_and(|(_, term)| *term > 1)
        && hosts.iter().all(|host| host.primary() == first)
}

#[actix_rt::test]
async fn all_hosts_follow_a_failover_even_if_they_do_not_watch_the_group() {
    let installation = Installation::start().await;
    let hosts = hosts(&installation, 3).await;
    installation.instances[0].kill();
    wait_until("all hosts agree on the new primary", || {
        agree_on_new_primary(&hosts)
    })
    .await;
    let primaries = installation.instances[1..]
        .iter()
        .map(Database::status)
        .filter(|status| status.role == Role::Primary);
    assert_eq!(primaries.count(), 1);
}

#[actix_rt::test]
async fn a_quiet_group_fails_over_even_if_the_host_that_probes_it_most_crashes() {
    let installation = Installation::start().await;
    let mut hosts = hosts(&installation, 2).await;
    let mut live = DomainHosts::new();
    for host in &hosts {
        let domain = live.entry(host.domain.clone()).or_default();
        domain.insert(host.name.clone());
    }
    let watchers = group_watchers(&installation.config(1), &live, WATCHERS_PER_DOMAIN);
    let first = hosts.iter().position(|host| host.name == watchers[0].host);
    hosts
        .remove(first.expect("the first watcher is one of the hosts"))
        .crash();
    installation.instances[0].kill();
    wait_until("all hosts agree on the new primary", || {
        agree_on_new_primary(&hosts)
    })
    .await;
}

#[actix_rt::test]
async fn every_host_serves_even_if_it_neither_owns_nor_watches() {
    let installation = Installation::start().await;
    let hosts = hosts(&installation, 3).await;
    let table = "CREATE TABLE IF NOT EXISTS issues (host TEXT)";
    for host in &hosts {
        let caller = host.connect().await;
        let insert = format!("INSERT INTO issues (host) VALUES ('{}')", host.name);
        for sql in [table, insert.as_str(), "SELECT host FROM issues"] {
            let answer = caller.simple_query(sql).await;
            assert!(answer.is_ok(), "{} {sql}: {answer:?}", host.name);
        }
    }
    // Every host also serves after a failover.
    installation.instances[0].kill();
    wait_until("all hosts agree on the new primary", || {
        agree_on_new_primary(&hosts)
    })
    .await;
    for host in &hosts {
        let caller = host.connect().await;
        let writing = async {
            while caller.simple_query("DELETE FROM issues").await.is_err() {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        let limited = tokio::time::timeout(control::HANG_LIMIT, writing).await;
        assert!(limited.is_ok(), "{} does not write", host.name);
    }
}

#[actix_rt::test]
async fn hosts_fail_over_together_while_the_platform_is_out() {
    let installation = Installation::start().await;
    let hosts = hosts(&installation, 1).await;
    installation.platform.set_outage(Outage::Refuse);
    installation.instances[0].kill();
    wait_until("all hosts agree on the new primary", || {
        agree_on_new_primary(&hosts)
    })
    .await;
}

#[actix_rt::test]
async fn a_replaced_primary_that_restarts_follows() {
    let installation = Installation::start().await;
    let hosts = hosts(&installation, 1).await;
    installation.instances[0].kill();
    wait_until("all hosts agree on the new primary", || {
        agree_on_new_primary(&hosts)
    })
    .await;
    installation.instances[0].revive();
    let follows = || {
        let status = installation.instances[0].status();
        status.role == Role::Replica && status.term > 1
    };
    wait_until("the old primary follows", follows).await;
}

#[actix_rt::test]
async fn a_host_that_left_loses_its_ownership() {
    let installation = Installation::start().await;
    let mut hosts = hosts(&installation, 2).await;
    let mut drained = hosts.remove(1);
    drained.request_drain();
    drained.wait_until_stopped().await;
    let owners = |host: &RunningHost| {
        let route = host.route()?;
        let owners = route.owners.get("a")?;
        Some(
            owners
                .iter()
                .map(|owner| owner.host.clone())
                .collect::<Vec<_>>(),
        )
    };
    let all_moved = || {
        let mut all = hosts.iter();
        all.all(|host| owners(host).is_some_and(|owners| owners == ["delta-0"]))
    };
    wait_until("every host knows the remaining owner", all_moved).await;
}

#[actix_rt::test]
async fn a_host_that_crashed_loses_its_ownership() {
    let installation = Installation::start().await;
    let mut hosts = hosts(&installation, 2).await;
    hosts.remove(1).crash();
    let owners = |host: &RunningHost| {
        let route = host.route()?;
        Some(route.owners.get("a")?.len())
    };
    // The hosts of other domains learn of the crash by exchanges.
    let all_moved = || hosts.iter().all(|host| owners(host) == Some(1));
    wait_until("every host knows the remaining owner", all_moved).await;
}

#[actix_rt::test]
async fn a_leaving_instance_is_learned_from_peers_during_a_platform_outage() {
    let installation = Installation::start().await;
    let hosts = hosts(&installation, 1).await;
    let mut config = installation.config(2);
    if let Some(instance) = config.instances.get_mut("a") {
        instance.state = InstanceState::Leaving;
    }
    installation.submit(&config).await;
    wait_until("one host has generation 2", || {
        hosts.iter().any(|host| host.generation() == 2)
    })
    .await;
    installation.platform.set_outage(Outage::Refuse);
    wait_until("every host has generation 2", || {
        hosts.iter().all(|host| host.generation() == 2)
    })
    .await;
    let is_other = || {
        hosts
            .iter()
            .all(|host| host.primary().is_some_and(|(primary, _)| primary != "a"))
    };
    wait_until("another instance is the primary", is_other).await;
}
