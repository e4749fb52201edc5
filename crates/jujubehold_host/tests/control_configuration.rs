//! An accepted configuration becomes current on every host and never reverts.

#[path = "support/control.rs"]
mod control;

use std::time::Duration;

use control::{Installation, RunningHost, SERVICE, wait_until};
use jujubehold_core::prelude::*;
use jujubehold_host::platform::service_key;
use jujubehold_settings::{HostSettings, parse_service};
use jujubehold_standin::platform::{CallKind, Outage};

async fn host(installation: &Installation, name: &str, seeds: &[&RunningHost]) -> RunningHost {
    let settings = HostSettings {
        peer_seeds: seeds.iter().map(|host| host.seed()).collect(),
        ..installation.settings(name, "delta")
    };
    RunningHost::start(settings).await
}

#[actix_rt::test]
async fn a_change_reaches_hosts_without_a_watch() {
    let installation = Installation::start().await;
    let first = host(&installation, "host-1", &[]).await;
    wait_until("the first host has generation 1", || {
        first.generation() == 1
    })
    .await;
    let mut hosts = vec![first];
    for name in ["host-2", "host-3", "host-4", "host-5"] {
        let next = host(&installation, name, &[&hosts[0]]).await;
        wait_until("the next host has generation 1", || next.generation() == 1).await;
        hosts.push(next);
    }
    installation.submit(&installation.config(2)).await;
    let have_all = || hosts.iter().all(|host| host.generation() == 2);
    wait_until("all hosts have generation 2", have_all).await;
}

#[actix_rt::test]
async fn a_new_host_gets_the_configuration_from_peers_during_a_platform_outage() {
    let installation = Installation::start().await;
    let first = host(&installation, "host-1", &[]).await;
    wait_until("the first host knows the primary", || {
        first.primary().is_some()
    })
    .await;
    installation.platform.set_outage(Outage::Refuse);
    let new_host = host(&installation, "host-2", &[&first]).await;
    wait_until("the new host has generation 1", || {
        new_host.generation() == 1
    })
    .await;
    wait_until("the new host knows the primary", || {
        new_host.primary().is_some()
    })
    .await;
}

#[actix_rt::test]
async fn a_platform_that_was_restored_gets_the_higher_generation_back() {
    let installation = Installation::start().await;
    let host = host(&installation, "host-1", &[]).await;
    wait_until("the host has generation 1", || host.generation() == 1).await;
    let older_revision = installation.platform.revision();
    installation.submit(&installation.config(2)).await;
    wait_until("the host has generation 2", || host.generation() == 2).await;
    installation.platform.restore(older_revision);
    let key = service_key(&SERVICE.into());
    let reading = async {
        loop {
            let shown = installation
                .kv()
                .get(&key)
                .await
                .expect("the platform answers");
            let text = shown.map_or_else(Vec::new, |entry| entry.value);
            let text = String::from_utf8(text).expect("the value is UTF-8");
            if parse_service(SERVICE, &text).is_ok_and(|config| config.generation == 2) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let limited = tokio::time::timeout(control::HANG_LIMIT, reading).await;
    limited.expect("generation 2 is written back");
    assert_eq!(host.generation(), 2);
}

#[actix_rt::test]
async fn changes_made_while_the_watch_is_broken_are_found_after_it() {
    let installation = Installation::start().await;
    let host = host(&installation, "host-1", &[]).await;
    wait_until("the host has generation 1", || host.generation() == 1).await;
    installation.platform.set_outage(Outage::Refuse);
    installation.platform.set_outage(Outage::None);
    installation.submit(&installation.config(2)).await;
    wait_until("the host has generation 2", || host.generation() == 2).await;
}

/// Returns the read age of a host's current configuration.
fn read_age(host: &RunningHost) -> Option<Duration> {
    Some(host.route()?.config.read_age)
}

#[actix_rt::test]
async fn all_hosts_keep_the_same_of_two_texts_of_one_generation() {
    for ages_ms in [(1000, 2000), (2000, 1000)] {
        let installation = Installation::start().await;
        let config = |age_ms| ServiceConfig {
            read_age: Duration::from_millis(age_ms),
            ..installation.config(2)
        };
        installation.submit(&config(ages_ms.0)).await;
        let first = host(&installation, "host-1", &[]).await;
        wait_until("the first host has the first text", || {
            first.generation() == 2
        })
        .await;
        // Simulates a platform that lost the first text and then accepted another operator's.
        installation.submit(&config(ages_ms.1)).await;
        let second = host(&installation, "host-2", &[&first]).await;
        wait_until("both hosts have the same text", || {
            read_age(&first).is_some() && read_age(&first) == read_age(&second)
        })
        .await;
        let key = service_key(&SERVICE.into());
        let reading = async {
            loop {
                let shown = installation
                    .kv()
                    .get(&key)
                    .await
                    .expect("the platform answers");
                let text = shown.map_or_else(Vec::new, |entry| entry.value);
                let text = String::from_utf8(text).expect("the value is UTF-8");
                let shown =
                    parse_service(SERVICE, &text).expect("the stored configuration is valid");
                if Some(shown.read_age) == read_age(&first) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let limited = tokio::time::timeout(control::HANG_LIMIT, reading).await;
        limited.expect("the platform stores the text that the hosts have");
    }
}

#[actix_rt::test]
async fn only_two_hosts_of_a_domain_watch_the_platform() {
    let installation = Installation::start().await;
    let first = host(&installation, "host-1", &[]).await;
    wait_until("the first host has generation 1", || {
        first.generation() == 1
    })
    .await;
    let mut hosts = vec![first];
    for name in ["host-2", "host-3", "host-4", "host-5", "host-6"] {
        hosts.push(host(&installation, name, &[&hosts[0]]).await);
    }
    let owners = |host: &RunningHost| host.route().map(|route| route.owners.clone());
    let agree = || {
        let first = owners(&hosts[0]);
        first.as_ref().is_some_and(|owners| owners["a"].len() == 2)
            && hosts
                .iter()
                .all(|host| owners(host) == first || have_same_owners(host, &hosts[0]))
    };
    wait_until("all hosts agree on the owners", agree).await;
    let watches = || {
        installation
            .platform
            .counts()
            .get(&CallKind::Watch)
            .copied()
    };
    let before = watches().unwrap_or_default();
    installation.platform.set_outage(Outage::Refuse);
    installation.platform.set_outage(Outage::None);
    // The hosts without a watch still receive each change.
    installation.submit(&installation.config(2)).await;
    let have_all = || hosts.iter().all(|host| host.generation() == 2);
    wait_until("all hosts have generation 2", have_all).await;
    // Each of the two watching hosts opens a watch on two prefixes after the outage; the other
    // hosts open none.
    assert!(watches().unwrap_or_default() - before <= 4);
}

fn have_same_owners(one: &RunningHost, other: &RunningHost) -> bool {
    let names = |host: &RunningHost| {
        let route = host.route()?;
        let owners = route.owners.get("a")?;
        Some(
            owners
                .iter()
                .map(|owner| owner.host.clone())
                .collect::<Vec<_>>(),
        )
    };
    names(one) == names(other)
}
