//! Runs a closed loop of statements over several connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_pg::query;

use crate::error::LabError;
use crate::load::connection::{DEFAULT_USER, LoadConnection};
use crate::load::load_report::LoadReport;

/// The settings of a load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSettings {
    /// The hosts or the instance to which the connections are opened in turn.
    pub targets: Vec<SocketAddr>,
    /// The caller's name, by which the hosts divide the slots among callers.
    pub user: String,
    /// The service.
    pub service: String,
    /// The statement that each connection repeats.
    pub sql: String,
    /// The number of connections.
    pub connections: usize,
    /// The number of threads that serve the connections.
    pub threads: usize,
    /// How long the load runs once all connections are open.
    pub duration: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            targets: vec![SocketAddr::from(([127, 0, 0, 1], 6432))],
            user: DEFAULT_USER.into(),
            service: "service-0".into(),
            sql: "SELECT 1".into(),
            connections: 32,
            threads: 3,
            duration: Duration::from_secs(5),
        }
    }
}

/// Runs a load on separate threads and waits until it ends.
///
/// # Errors
/// Returns an error if a connection cannot be opened or fails.
///
/// # Panics
/// Panics if a thread of the load panicked.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport, LabError> {
    let threads = settings.threads.clamp(1, settings.connections.max(1));
    let handles: Vec<_> = (0..threads)
        .map(|index| {
            let settings = settings.clone();
            let connection_indices = (index..settings.connections)
                .step_by(threads)
                .collect::<Vec<_>>();
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(run_thread(&settings, &connection_indices))
            })
        })
        .collect();
    let mut total = LoadReport::new();
    for handle in handles {
        total.merge(&handle.join().expect("a load thread does not panic")?);
    }
    Ok(total)
}

async fn run_thread(
    settings: &LoadSettings,
    connection_indices: &[usize],
) -> Result<LoadReport, LabError> {
    let mut connections = Vec::new();
    for index in connection_indices {
        let target = settings.targets[index % settings.targets.len()];
        connections
            .push(LoadConnection::open_as(&settings.user, target, &settings.service, None).await?);
    }
    let started_at = Instant::now();
    let deadline = started_at + settings.duration;
    let tasks: Vec<_> = connections
        .into_iter()
        .map(|connection| actix_rt::spawn(repeat_until(connection, settings.sql.clone(), deadline)))
        .collect();
    let mut total = LoadReport::new();
    for task in tasks {
        if let Ok(report) = task.await {
            total.merge(&report?);
        }
    }
    total.elapsed = started_at.elapsed();
    Ok(total)
}

async fn repeat_until(
    mut connection: LoadConnection,
    sql: String,
    deadline: Instant,
) -> Result<LoadReport, LabError> {
    let frame = query(&sql);
    let mut report = LoadReport::new();
    while Instant::now() < deadline {
        let sent_at = Instant::now();
        let answer = connection.run_frame(&frame).await?;
        report.record(answer.is_ok(), sent_at.elapsed());
        if let Some(wait_ms) = answer.retry_after_ms() {
            actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
    Ok(report)
}
