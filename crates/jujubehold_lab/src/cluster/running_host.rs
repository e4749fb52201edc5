//! One host on threads of its own.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use jujubehold_core::prelude::*;
use jujubehold_host::Host;
use jujubehold_settings::HostSettings;
use tokio::sync::oneshot;

use crate::error::LabError;

/// A host that runs until it is stopped.
#[derive(Debug)]
pub struct RunningHost {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningHost {
    /// Starts a host and waits until it listens.
    ///
    /// # Errors
    /// The host could not start.
    pub fn start(settings: HostSettings) -> Result<Self, LabError> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (started, is_started) = std::sync::mpsc::channel();
        let host = settings.host.clone();
        let domain = settings.domain.clone();
        let thread = std::thread::Builder::new()
            .name(host.to_string())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    match Host::start(settings).await {
                        Ok(host) => {
                            let _ = started.send(Ok(host.caller_address()));
                            host.serve(async move { drop(stopped.await) }).await;
                        }
                        Err(error) => drop(started.send(Err(error.to_string()))),
                    }
                });
            })
            .map_err(|error| LabError::Start {
                part: "a host",
                detail: error.to_string(),
            })?;
        let caller_address = is_started
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
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Asks the host to leave, and waits until it has.
    pub fn stop(mut self) {
        self.stop_and_join();
    }

    fn stop_and_join(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}
