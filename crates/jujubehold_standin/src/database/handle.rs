//! Starting, steering and stopping an instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use jujubehold_core::prelude::InstanceStatus;
use tokio::sync::oneshot;

use crate::control_port::serve_control;
use crate::runtime_thread::RuntimeThread;

use super::control::{DatabaseControl, set_down, set_frozen, set_lag};
use super::instance::Instance;
use super::settings::DatabaseSettings;
use super::shared::Shared;
use super::{applier, puller, server};

/// A running instance, on a thread of its own.
#[derive(Debug)]
pub struct Database {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
    _thread: RuntimeThread,
}

/// What an instance says once it listens.
struct Started {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
}

impl Database {
    /// Starts an instance on a thread of its own.
    ///
    /// # Errors
    /// An address is taken, or the database file can't be opened.
    pub async fn start(settings: DatabaseSettings) -> std::io::Result<Self> {
        let (started_sender, started) = oneshot::channel();
        let name = format!("standin-{}", settings.name);
        let thread = RuntimeThread::spawn(name, |stopped| {
            run(settings, started_sender, async { drop(stopped.await) })
        })?;
        let started = started.await.map_err(std::io::Error::other)??;
        Ok(Self {
            address: started.address,
            control_address: started.control_address,
            shared: started.shared,
            _thread: thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its control port listens.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// What it would answer to a status query.
    pub fn status(&self) -> InstanceStatus {
        self.shared.status(0)
    }

    /// How many callers' connections are open.
    pub fn connection_count(&self) -> usize {
        self.shared.connection_count()
    }

    /// How many statements were run, the group's calls not counted.
    pub fn statement_count(&self) -> usize {
        self.shared.statements.load(Ordering::Relaxed)
    }

    /// Sets how much later than received a commit is visible.
    pub fn set_apply_lag(&self, lag: Duration) {
        set_lag(&self.shared, lag);
    }

    /// Sets how long a statement holds its slot.
    pub fn set_service_time(&self, service_time: Duration) {
        self.shared
            .conditions
            .send_modify(|conditions| conditions.service_time = service_time);
    }

    /// Stops reading and answering; connections stay open.
    pub fn freeze(&self) {
        set_frozen(&self.shared, true);
    }

    /// Ends what [`Self::freeze`] began.
    pub fn thaw(&self) {
        set_frozen(&self.shared, false);
    }

    /// Closes the port and all connections, as a crash would; the log is kept.
    pub fn kill(&self) {
        set_down(&self.shared, true);
    }

    /// Ends what [`Self::kill`] began.
    pub fn revive(&self) {
        set_down(&self.shared, false);
    }

    /// Stops the instance and waits for its thread.
    pub fn stop(self) {
        drop(self);
    }
}

/// Runs an instance on this thread's runtime until `stop` is done.
///
/// # Errors
/// An address is taken, or the database file can't be opened.
pub async fn run_database(
    settings: DatabaseSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let (started_sender, started) = oneshot::channel::<std::io::Result<Started>>();
    let name = settings.name.clone();
    let report = async {
        match started.await {
            Ok(Ok(started)) => {
                let address = started.address.to_string();
                log::info!(instance = name.as_str(), address = address.as_str(); "listening");
                Ok(())
            }
            Ok(Err(error)) => Err(error),
            Err(error) => Err(std::io::Error::other(error)),
        }
    };
    let ((), reported) = tokio::join!(run(settings, started_sender, stop), report);
    reported
}

async fn run(
    settings: DatabaseSettings,
    started_sender: oneshot::Sender<std::io::Result<Started>>,
    stop: impl Future<Output = ()>,
) {
    let data_directory = DataDirectory::new(&settings);
    let started = match data_directory.as_ref() {
        Ok(directory) => start(settings, directory.path()).await,
        Err(error) => Err(std::io::Error::new(error.kind(), error.to_string())),
    };
    let is_started = started.is_ok();
    // Whoever started the instance may have gone.
    let _ = started_sender.send(started);
    if is_started {
        stop.await;
    }
}

async fn start(settings: DatabaseSettings, directory: &Path) -> std::io::Result<Started> {
    let name = settings.name.clone();
    let instance = Instance::open(
        name,
        directory.to_owned(),
        settings.primary,
        settings.apply_lag,
    )
    .map_err(std::io::Error::other)?;
    let listener = server::listen(settings.listen).await?;
    let address = listener.local_addr()?;
    let control = settings.control;
    let shared = Arc::new(Shared::new(settings, instance));
    let control_address = match control {
        Some(control) => {
            let control_port = DatabaseControl {
                shared: Arc::clone(&shared),
            };
            Some(serve_control(control, control_port).await?)
        }
        None => None,
    };
    actix_rt::spawn(server::run(Arc::clone(&shared), Some(listener)));
    actix_rt::spawn(puller::run(Arc::clone(&shared)));
    actix_rt::spawn(applier::run(Arc::clone(&shared)));
    Ok(Started {
        address,
        control_address,
        shared,
    })
}

/// Where the files lie; a directory that was not named in the settings goes with the instance.
struct DataDirectory {
    path: PathBuf,
    is_temporary: bool,
}

impl DataDirectory {
    fn new(settings: &DatabaseSettings) -> std::io::Result<Self> {
        static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let path = settings.directory.clone().unwrap_or_else(|| {
            let process = std::process::id();
            std::env::temp_dir().join(format!("jujubehold-standin-{process}-{number}"))
        });
        std::fs::create_dir_all(&path)?;
        Ok(Self {
            path,
            is_temporary: settings.directory.is_none(),
        })
    }

    fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        if self.is_temporary {
            // What can't be removed is left to the system's own cleaning.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
