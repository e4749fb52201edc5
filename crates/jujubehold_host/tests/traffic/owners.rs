//! Tests statements of a host that owns no connections to the primary.

use std::net::{Ipv4Addr, SocketAddr};

use jujubehold_core::prelude::*;
use jujubehold_host::Host;
use jujubehold_host::routing_table::Owner;
use jujubehold_settings::HostSettings;

use crate::support::{Fixture, run};

/// Starts a host that knows no service, because it reaches neither the platform nor other hosts.
async fn start_host_without_configuration(name: &str) -> Owner {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let closed_listener = std::net::TcpListener::bind(any).expect("a port is free");
    let closed_address = closed_listener.local_addr().expect("a bound listener");
    drop(closed_listener);
    let settings = HostSettings {
        host: name.into(),
        caller_address: any,
        peer_address: any,
        metrics_address: None,
        platform_addresses: vec![closed_address],
        peer_seeds: Vec::new(),
        ..HostSettings::default()
    };
    let host = Host::start(settings).await.expect("the host starts");
    let peer_address = host.peer_address();
    actix_rt::spawn(host.serve(std::future::pending()));
    Owner {
        host: name.into(),
        peer_address,
        is_local: false,
    }
}

// Hosts that have just been restarted are owners before they have a configuration. They refused to
// lend, and the statement was refused although the primary was reachable.
#[actix_rt::test]
async fn a_primary_whose_owners_have_no_configuration_yet_is_used_directly() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let owners = vec![
        start_host_without_configuration("host-1").await,
        start_host_without_configuration("host-2").await,
    ];
    fixture.set_owners("a", owners);
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    run(&client, "BEGIN").await;
    run(&client, "COMMIT").await;
}
