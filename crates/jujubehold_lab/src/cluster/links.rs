//! The routes of the fault proxy that stand for the links of an installation.

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
    between_domains: Vec<SmolStr>,
}

impl Links {
    /// Starts without any link.
    ///
    /// # Errors
    /// The proxy could not start.
    pub async fn start(delays: LinkDelays) -> Result<Self, LabError> {
        Ok(Self {
            proxy: FaultProxy::start(FaultSettings::default()).await?,
            delays,
            between_domains: Vec::new(),
        })
    }

    /// Opens a link of connections to `target` from another failure domain; returns where.
    ///
    /// # Errors
    /// The link could not be opened.
    pub async fn to_instance(&mut self, target: SocketAddr) -> Result<SocketAddr, LabError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format_smolstr!("instance-{target}");
        self.between_domains.push(name.clone());
        let delay = self.delays.between_domains;
        self.open(name, Protocol::Tcp, any, target, delay).await
    }

    /// Opens a link of calls and datagrams to `target` from the host `from`; returns where.
    ///
    /// # Errors
    /// The link could not be opened.
    pub async fn to_host(
        &mut self,
        from: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, LabError> {
        let listen = free_address()?;
        let delay = self.delays.between_domains;
        for (kind, protocol) in [("calls", Protocol::Tcp), ("datagrams", Protocol::Udp)] {
            let name = format_smolstr!("{kind}-{from}-{target}");
            self.between_domains.push(name.clone());
            self.open(name, protocol, listen, target, delay).await?;
        }
        Ok(listen)
    }

    /// Opens the link of callers to the host at `target`; returns where.
    ///
    /// # Errors
    /// The link could not be opened.
    pub async fn to_callers(&mut self, target: SocketAddr) -> Result<SocketAddr, LabError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let name = format_smolstr!("callers-{target}");
        let delay = self.delays.to_callers;
        self.open(name, Protocol::Tcp, any, target, delay).await
    }

    /// The links between failure domains.
    pub fn between_domains(&self) -> &[SmolStr] {
        &self.between_domains
    }

    /// Sets the faults of both directions of a link; its own delay is added.
    ///
    /// # Errors
    /// There is no such link.
    pub fn disturb(&self, name: &str, faults: &LinkFaults) -> Result<(), LabError> {
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
