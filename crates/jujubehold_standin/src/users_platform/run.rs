//! Runs the users' platform as a program.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use super::control::UsersPlatformControl;
use super::handle::{THREE_INSTANCES, UsersPlatformHandle};
use crate::control_port::serve_control;

/// The name of the service.
const SERVICE: &str = "s";
/// The settings of the users' platform that runs as a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsersPlatformSettings {
    /// The address of the control port.
    pub control: SocketAddr,
    /// For how many hosts there is an address of the store.
    pub hosts: usize,
    /// The connection limit of each instance.
    pub max_connections: u32,
}

/// Runs the platform with one service of three instances until `stop` completes.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run_users_platform(
    settings: UsersPlatformSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let platform = UsersPlatformHandle::start(SERVICE, &THREE_INSTANCES).await?;
    platform.group.borrow_mut().max_connections = settings.max_connections;
    let mut endpoints = Vec::new();
    for _ in 0..settings.hosts {
        endpoints.push(platform.store_for_host().await?);
    }
    let control = UsersPlatformControl {
        platform,
        endpoints,
        copy: RefCell::default(),
        reported_runs: Cell::new(0),
    };
    serve_control(settings.control, control).await?;
    stop.await;
    Ok(())
}
