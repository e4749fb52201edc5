//! A closed loop of statements over some connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_pg::query;

use crate::error::LabError;
use crate::load::connection::{DEFAULT_USER, LoadConnection};
use crate::load::load_report::LoadReport;

/// How a load is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSettings {
    /// The hosts, or the instance, that the connections go to in turn.
    pub targets: Vec<SocketAddr>,
    /// The caller's name, by which the hosts share the slots.
    pub user: String,
    /// The service.
    pub service: String,
    /// The statement that each connection repeats.
    pub sql: String,
    /// How many connections there are.
    pub connections: usize,
    /// How many threads carry them.
    pub threads: usize,
    /// How long the load runs, after all connections are open.
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

/// Runs a load on threads of its own and waits for its end.
///
/// # Errors
/// A connection could not be opened.
///
/// # Panics
/// A thread of the load panicked.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport, LabError> {
    let threads = settings.threads.clamp(1, settings.connections.max(1));
    let handles: Vec<_> = (0..threads)
        .map(|index| {
            let settings = settings.clone();
            let own = (index..settings.connections)
                .step_by(threads)
                .collect::<Vec<_>>();
            std::thread::spawn(move || actix_rt::System::new().block_on(run_share(&settings, &own)))
        })
        .collect();
    let mut total = LoadReport::new();
    for handle in handles {
        total.merge(&handle.join().expect("a load thread does not panic")?);
    }
    Ok(total)
}

async fn run_share(settings: &LoadSettings, own: &[usize]) -> Result<LoadReport, LabError> {
    let mut connections = Vec::new();
    for index in own {
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
        report.note(answer.is_ok(), sent_at.elapsed());
        if let Some(wait_ms) = answer.retry_after_ms() {
            actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
    Ok(report)
}
