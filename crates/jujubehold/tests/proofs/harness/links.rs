//! The links between hosts, and between each host and each instance.
//!
//! The route `calls-0-1` carries host 0's calls to host 1 and their answers, and `datagrams-0-1`
//! its datagrams and their answers. The route `a-0` is between host 0 and the route in front of
//! instance `a`.

use std::net::SocketAddr;

use jujubehold_faults::{Direction, LinkFaults, Protocol, RouteSettings};
use jujubehold_lab::cluster::free_address;

use super::installation::{INSTANCES, Installation, add_route};

/// The faults of a link that loses everything.
fn cut_link() -> LinkFaults {
    LinkFaults {
        is_cut: true,
        ..LinkFaults::default()
    }
}

impl Installation {
    /// Opens the routes of every link and sets the hosts' addresses to them.
    pub(super) async fn open_links(&mut self) {
        for number in 0..self.host_specs.len() {
            for instance in INSTANCES {
                let named = self.faults.address(instance).expect("the route exists");
                let name = format!("{instance}-{number}");
                let reached_at = add_route(&self.faults, &name, named).await;
                self.host_specs[number].reached_at.insert(named, reached_at);
            }
            for other in (0..self.host_specs.len()).filter(|other| *other != number) {
                let named = self.host_specs[other].peer_address;
                let reached_at = self.open_host_link(number, other, named).await;
                self.host_specs[number].reached_at.insert(named, reached_at);
            }
        }
    }

    async fn open_host_link(&self, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
        // Another process may bind the free address first, so this retries.
        loop {
            let listen = free_address().expect("a port is free");
            let mut is_open = true;
            for (kind, protocol) in [("calls", Protocol::Tcp), ("datagrams", Protocol::Udp)] {
                let route = RouteSettings {
                    name: format!("{kind}-{from}-{to}").into(),
                    protocol,
                    listen,
                    target,
                };
                is_open &= self.faults.add_route(route).await.is_ok();
            }
            if is_open {
                return listen;
            }
        }
    }

    /// Sets the faults of all traffic from host `from` to host `to`, including answers.
    pub(crate) fn set_one_way(&self, from: usize, to: usize, link: &LinkFaults) {
        for kind in ["calls", "datagrams"] {
            let requests = format!("{kind}-{from}-{to}");
            let answers = format!("{kind}-{to}-{from}");
            self.set(&requests, Direction::Up, link);
            self.set(&answers, Direction::Down, link);
        }
    }

    /// Sets the faults of the links between all hosts.
    pub(crate) fn set_between_hosts(&self, link: &LinkFaults) {
        for from in 0..self.host_specs.len() {
            for to in (0..self.host_specs.len()).filter(|to| *to != from) {
                self.set_one_way(from, to, link);
            }
        }
    }

    /// Cuts the links between all hosts.
    pub(crate) fn cut_between_hosts(&self) {
        self.set_between_hosts(&cut_link());
    }

    /// Cuts all traffic from host `from` to host `to`.
    pub(crate) fn cut_one_way(&self, from: usize, to: usize) {
        self.set_one_way(from, to, &cut_link());
    }

    /// Cuts the failure domain of `hosts` and `instances` off from everything else.
    pub(crate) fn cut_off(&self, hosts: &[usize], instances: &[&str]) {
        self.set_domain_border(hosts, instances, &cut_link());
    }

    /// Reverts [`Self::cut_off`].
    pub(crate) fn rejoin(&self, hosts: &[usize], instances: &[&str]) {
        self.set_domain_border(hosts, instances, &LinkFaults::default());
    }

    fn set_domain_border(&self, hosts: &[usize], instances: &[&str], link: &LinkFaults) {
        self.set_both("replication", link);
        for number in 0..self.host_specs.len() {
            let is_inside = hosts.contains(&number);
            if is_inside {
                self.set_both(&format!("platform-{number}"), link);
            }
            for instance in INSTANCES {
                if instances.contains(&instance) != is_inside {
                    self.set_both(&format!("{instance}-{number}"), link);
                }
            }
            for other in
                (0..self.host_specs.len()).filter(|other| hosts.contains(other) != is_inside)
            {
                self.set_one_way(number, other, link);
            }
        }
    }

    fn set(&self, route: &str, direction: Direction, link: &LinkFaults) {
        self.faults
            .set(route, direction, link.clone())
            .expect("the route exists");
    }

    fn set_both(&self, route: &str, link: &LinkFaults) {
        self.faults.set_both(route, link).expect("the route exists");
    }
}
