//! The links of an installation, as routes of the fault proxy.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jujubehold_faults::{FaultProxy, FaultSettings, LinkFaults, Protocol, RouteSettings};
use smol_str::{SmolStr, format_smolstr};

use crate::cluster::free_address::free_address;
use crate::cluster::link_delays::LinkDelays;
use crate::error::LabError;

/// The links of a running installation.
#[derive(Debug)]
pub struct Links {
    proxy: FaultProxy,
    delays: LinkDelays,
    names_between_domains: Vec<SmolStr>,
}

impl Links {
    /// Starts the proxy without links.
    ///
    /// # Errors
    /// Returns an error if the proxy cannot start.
    pub async fn start(delays: LinkDelays) -> Result<Self, LabError> {
        Ok(Self {
            proxy: FaultProxy::start(FaultSettings::default()).await?,
            delays,
            names_between_domains: Vec::new(),
        })
    }

    /// Opens a link for connections to the instance at `target` from another failure domain, and
    /// returns the address of the link.
    ///
    /// # Errors
    /// Returns an error if the link cannot be opened.
    pub async fn open_to_instance(&mut self, target: SocketAddr) -> Result<SocketAddr, LabError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format_smolstr!("instance-{target}");
        self.names_between_domains.push(name.clone());
        let delay = self.delays.between_domains;
        self.open(name, Protocol::Tcp, any, target, delay).await
    }

    /// Opens a link for calls and datagrams from the host `from` to the host at `target`, and
    /// returns the address of the link.
    ///
    /// # Errors
    /// Returns an error if the link cannot be opened.
    pub async fn open_to_host(
        &mut self,
        from: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, LabError> {
        let listen = free_address()?;
        let delay = self.delays.between_domains;
        for (kind, protocol) in [("calls", Protocol::Tcp), ("datagrams", Protocol::Udp)] {
            let name = format_smolstr!("{kind}-{from}-{target}");
            self.names_between_domains.push(name.clone());
            self.open(name, protocol, listen, target, delay).await?;
        }
        Ok(listen)
    }

    /// Opens a link for callers to the host at `target`, and returns the address of the link.
    ///
    /// # Errors
    /// Returns an error if the link cannot be opened.
    pub async fn open_for_callers(&mut self, target: SocketAddr) -> Result<SocketAddr, LabError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format_smolstr!("callers-{target}");
        let delay = self.delays.to_callers;
        self.open(name, Protocol::Tcp, any, target, delay).await
    }

    /// Returns the names of the links between failure domains.
    pub fn names_between_domains(&self) -> &[SmolStr] {
        &self.names_between_domains
    }

    /// Sets the faults of both directions of a link between failure domains. The link's configured
    /// delay is added to that of `faults`.
    ///
    /// # Errors
    /// Returns an error if the link does not exist.
    pub fn set_faults(&self, name: &str, faults: &LinkFaults) -> Result<(), LabError> {
        let faults = LinkFaults {
            delay: self.delays.between_domains + faults.delay,
            ..faults.clone()
        };
        self.proxy
            .set_both(name, &faults)
            .map_err(|error| start_error(&error))
    }

    async fn open(
        &self,
        name: SmolStr,
        protocol: Protocol,
        listen: SocketAddr,
        target: SocketAddr,
        delay: Duration,
    ) -> Result<SocketAddr, LabError> {
        let faults = LinkFaults {
            delay,
            ..LinkFaults::default()
        };
        let route = RouteSettings {
            name: name.clone(),
            protocol,
            listen,
            target,
        };
        let opened = self.proxy.add_route(route).await;
        let address = opened.map_err(|error| start_error(&error))?;
        self.proxy
            .set_both(&name, &faults)
            .map_err(|error| start_error(&error))?;
        Ok(address)
    }
}

fn start_error(error: &jujubehold_faults::FaultError) -> LabError {
    LabError::Start {
        part: "a link",
        detail: error.to_string(),
    }
}
