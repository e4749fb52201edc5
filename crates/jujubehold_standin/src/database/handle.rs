//! Starts, controls and stops a database instance.

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
use super::statement_run::StatementRun;
use super::{applier, puller, server};

/// A running instance on its own thread, which stops when this handle is dropped.
#[derive(Debug)]
pub struct Database {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
    _thread: RuntimeThread,
}

/// What a started instance reports to the task that starts it.
struct Started {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
}

impl Database {
    /// Starts an instance on its own thread and waits until it listens.
    ///
    /// # Errors
    /// Fails if an address cannot be bound, the database file cannot be opened or the thread
    /// cannot be started.
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

    /// Returns the address that the instance listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control port, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Returns the status that the instance would report to a status query.
    pub fn status(&self) -> InstanceStatus {
        self.shared.status(0)
    }

    /// Returns the number of open connections of callers.
    pub fn connection_count(&self) -> usize {
        self.shared.connection_count()
    }

    /// Returns the number of SQL statements run so far, without the group calls.
    pub fn statement_count(&self) -> usize {
        self.shared.statements.load(Ordering::Relaxed)
    }

    /// Returns the prepared statements run so far, if the settings ask for the record.
    pub fn statement_runs(&self) -> Vec<StatementRun> {
        self.shared.statement_runs()
    }

    /// Sets the delay between receiving a commit and applying it.
    pub fn set_apply_lag(&self, lag: Duration) {
        set_lag(&self.shared, lag);
    }

    /// Sets the artificial duration for which each statement holds its slot.
    pub fn set_service_time(&self, service_time: Duration) {
        self.shared
            .conditions
            .send_modify(|conditions| conditions.service_time = service_time);
    }

    /// Freezes the instance: it stops reading and answering, but connections stay open.
    pub fn freeze(&self) {
        set_frozen(&self.shared, true);
    }

    /// Resumes an instance that [`Self::freeze`] stopped.
    pub fn thaw(&self) {
        set_frozen(&self.shared, false);
    }

    /// Closes the port and all connections, as a crash would, but keeps the log.
    pub fn kill(&self) {
        set_down(&self.shared, true);
    }

    /// Reopens the port after [`Self::kill`].
    pub fn revive(&self) {
        set_down(&self.shared, false);
    }

    /// Stops the instance and waits for its thread.
    pub fn stop(self) {
        drop(self);
    }
}

/// Runs an instance on the current thread's runtime until `stop` completes.
///
/// # Errors
/// Fails if an address cannot be bound or the database file cannot be opened.
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
    // The receiver is gone if the starting task was cancelled.
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

/// The directory of the database files. A directory that was not set in the settings is temporary
/// and removed on drop.
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
            // Files that cannot be removed are left to the system's cleanup of temporary files.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
