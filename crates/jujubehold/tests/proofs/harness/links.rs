//! The links between hosts, and between each host and each instance.
//!
//! The route `calls-0-1` carries host 0's calls of host 1, `datagrams-0-1` its datagrams, and the
//! answers back; `a-0` is between host 0 and the route in front of instance `a`.

use std::net::SocketAddr;

use jujubehold_faults::{Direction, LinkFaults, Protocol, RouteSettings};
use jujubehold_lab::cluster::free_address;

use super::installation::{INSTANCES, Installation, add_route};

/// A link that loses everything.
fn lost() -> LinkFaults {
    LinkFaults {
        is_cut: true,
        ..LinkFaults::default()
    }
}

impl Installation {
    /// Opens the routes of every link, and has the hosts use them.
    pub(super) async fn open_links(&mut self) {
        for number in 0..self.places.len() {
            for instance in INSTANCES {
                let named = self.faults.address(instance).expect("the route stands");
                let name = format!("{instance}-{number}");
                let reached_at = add_route(&self.faults, &name, named).await;
                self.places[number].reached_at.insert(named, reached_at);
            }
            for other in (0..self.places.len()).filter(|other| *other != number) {
                let named = self.places[other].peer_address;
                let reached_at = self.open_host_link(number, other, named).await;
                self.places[number].reached_at.insert(named, reached_at);
            }
        }
    }

    async fn open_host_link(&self, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
        // Another process may take a free address first.
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

    /// Sets the faults of everything that host `from` sends to host `to`, answers included.
    pub(crate) fn set_one_way(&self, from: usize, to: usize, link: &LinkFaults) {
        for kind in ["calls", "datagrams"] {
            let asked = format!("{kind}-{from}-{to}");
            let answered = format!("{kind}-{to}-{from}");
            self.set(&asked, Direction::Up, link);
            self.set(&answered, Direction::Down, link);
        }
    }

    /// Sets the faults between each two hosts.
    pub(crate) fn set_between_hosts(&self, link: &LinkFaults) {
        for from in 0..self.places.len() {
            for to in (0..self.places.len()).filter(|to| *to != from) {
                self.set_one_way(from, to, link);
            }
        }
    }

    /// Loses everything between each two hosts.
    pub(crate) fn cut_between_hosts(&self) {
        self.set_between_hosts(&lost());
    }

    /// Loses everything that host `from` sends to host `to`.
    pub(crate) fn cut_one_way(&self, from: usize, to: usize) {
        self.set_one_way(from, to, &lost());
    }

    /// Cuts the failure domain of `hosts` and `instances` off from everything else.
    pub(crate) fn cut_off(&self, hosts: &[usize], instances: &[&str]) {
        self.set_around(hosts, instances, &lost());
    }

    /// Ends [`Self::cut_off`].
    pub(crate) fn rejoin(&self, hosts: &[usize], instances: &[&str]) {
        self.set_around(hosts, instances, &LinkFaults::default());
    }

    fn set_around(&self, hosts: &[usize], instances: &[&str], link: &LinkFaults) {
        self.set_both("replication", link);
        for number in 0..self.places.len() {
            let is_within = hosts.contains(&number);
            if is_within {
                self.set_both(&format!("platform-{number}"), link);
            }
            for instance in INSTANCES {
                if instances.contains(&instance) != is_within {
                    self.set_both(&format!("{instance}-{number}"), link);
                }
            }
            for other in (0..self.places.len()).filter(|other| hosts.contains(other) != is_within) {
                self.set_one_way(number, other, link);
            }
        }
    }

    fn set(&self, route: &str, direction: Direction, link: &LinkFaults) {
        self.faults
            .set(route, direction, link.clone())
            .expect("the route stands");
    }

    fn set_both(&self, route: &str, link: &LinkFaults) {
        self.faults.set_both(route, link).expect("the route stands");
    }
}
