//! A host that runs on its own threads.

use std::net::SocketAddr;

use jujubehold_core::prelude::*;
use jujubehold_host::Host;
use jujubehold_settings::HostSettings;
use jujubehold_standin::RuntimeThread;

use crate::error::LabError;

/// A host that runs until it is stopped.
#[derive(Debug)]
pub struct RunningHost {
    /// The host's name.
    pub host: HostId,
    /// The host's failure domain.
    pub domain: DomainId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    _thread: RuntimeThread,
}

impl RunningHost {
    /// Starts a host and waits until it listens.
    ///
    /// # Errors
    /// Returns an error if the host cannot start.
    pub fn start(settings: HostSettings) -> Result<Self, LabError> {
        let (start_sender, start_receiver) = std::sync::mpsc::channel();
        let host = settings.host.clone();
        let domain = settings.domain.clone();
        let thread = RuntimeThread::spawn(host.to_string(), |stopped| async move {
            match Host::start(settings).await {
                Ok(host) => {
                    let _ = start_sender.send(Ok(host.caller_address()));
                    host.serve(async { drop(stopped.await) }).await;
                }
                Err(error) => drop(start_sender.send(Err(error.to_string()))),
            }
        })
        .map_err(|error| LabError::Start {
            part: "a host",
            detail: error.to_string(),
        })?;
        let caller_address = start_receiver
            .recv()
            .map_err(|error| LabError::Start {
                part: "a host",
                detail: error.to_string(),
            })?
            .map_err(|detail| LabError::Start {
                part: "a host",
                detail,
            })?;
        Ok(Self {
            host,
            domain,
            caller_address,
            _thread: thread,
        })
    }

    /// Stops the host and waits until it has stopped.
    pub fn stop(self) {
        drop(self);
    }
}
