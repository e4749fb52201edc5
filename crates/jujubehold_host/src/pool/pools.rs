//! The connection pools of the instances that this host connects to.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jujubehold_core::backoff::Backoff;
use jujubehold_core::prelude::*;
use metrics::{Histogram, counter, histogram};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::connection::UpstreamConnection;
use super::open_error::OpenError;
use crate::metric_names::{UPSTREAM_OPENS, WAIT_SECONDS};

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(5);

/// How long opening a connection in advance may take.
const PREOPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no connection could be acquired.
#[derive(Debug, Error)]
pub enum PoolError {
    /// No connection became free in time, or opening one took too long.
    #[error("timed out waiting for a connection")]
    Busy,
    /// The upstream recently refused a connection, and no new one is attempted yet.
    #[error("the upstream recently refused a connection")]
    Refused,
    /// The upstream can't be reached or refuses a connection.
    #[error("cannot open a connection: {0}")]
    Open(#[from] OpenError),
}

/// The pools by service and instance.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Mutex<BTreeMap<(ServiceId, InstanceId), Arc<Pool>>>,
}

#[derive(Debug)]
struct Pool {
    wait_seconds: Histogram,
    permits: Arc<Semaphore>,
    limit: Mutex<usize>,
    refusals: Mutex<Refusals>,
    is_preopening: AtomicBool,
    idle: Mutex<Vec<IdleConnection>>,
}

/// The number of connections that the upstream refused in a row, and the end of the backoff.
#[derive(Debug, Default)]
struct Refusals {
    count: u32,
    until: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// A connection that one request holds.
///
/// It is closed when dropped, and returned to its pool by [`PooledConnection::put_back`].
#[derive(Debug)]
pub struct PooledConnection {
    connection: UpstreamConnection,
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Pools {
    /// Acquires a connection to `instance`: an idle one if there is one, or a new one, but never
    /// more than `quota` at a time.
    ///
    /// Waits up to `wait` until the quota allows a connection, and as long again to open a new one.
    ///
    /// # Errors
    /// No connection became free or was opened in time, or the instance can't be reached or refuses
    /// a new one.
    ///
    /// # Panics
    /// Never: the semaphore is not closed.
    pub async fn acquire(
        &self,
        service: &ServiceId,
        name: &InstanceId,
        instance: &InstanceConfig,
        quota: usize,
        wait: Duration,
    ) -> Result<PooledConnection, PoolError> {
        let started_at = Instant::now();
        let pool = self.pool(service, name, quota);
        let permit = match pool.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => tokio::time::timeout(wait, pool.permits.clone().acquire_owned())
                .await
                .map_err(|_| PoolError::Busy)?
                .expect("the semaphore is never closed"),
        };
        let connection = if let Some(connection) = pool.take_idle() {
            pool.preopen(service, name, instance);
            connection
        } else {
            pool.open(service, name, instance, wait).await?
        };
        pool.wait_seconds.record(started_at.elapsed());
        Ok(PooledConnection {
            connection,
            pool,
            _permit: permit,
        })
    }

    fn pool(&self, service: &ServiceId, instance: &InstanceId, quota: usize) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        let key = (service.clone(), instance.clone());
        let new_pool = || {
            Arc::new(Pool {
                wait_seconds: histogram!(
                    WAIT_SECONDS, "service" => service.to_string(), "for" => "connection"),
                permits: Arc::new(Semaphore::new(quota)),
                limit: Mutex::new(quota),
                refusals: Mutex::default(),
                is_preopening: AtomicBool::new(false),
                idle: Mutex::new(Vec::new()),
            })
        };
        let pool = pools.entry(key).or_insert_with(new_pool).clone();
        drop(pools);
        pool.resize(quota);
        pool
    }

    /// Closes the idle connections to an instance, for instance when it leaves.
    pub fn close_idle(&self, service: &ServiceId, instance: &InstanceId) {
        let pool = lock(&self.pools)
            .get(&(service.clone(), instance.clone()))
            .cloned();
        if let Some(pool) = pool {
            lock(&pool.idle).clear();
        }
    }

    /// Closes the idle connections to the instances for which `is_unwanted` returns `true`.
    pub fn close_idle_where(&self, is_unwanted: impl Fn(&ServiceId, &InstanceId) -> bool) {
        let unwanted: Vec<_> = lock(&self.pools)
            .iter()
            .filter(|((service, instance), _)| is_unwanted(service, instance))
            .map(|(_, pool)| Arc::clone(pool))
            .collect();
        for pool in unwanted {
            lock(&pool.idle).clear();
        }
    }

    /// Returns the number of idle connections to an instance.
    pub fn idle_count(&self, service: &ServiceId, instance: &InstanceId) -> usize {
        lock(&self.pools)
            .get(&(service.clone(), instance.clone()))
            .map_or(0, |pool| lock(&pool.idle).len())
    }
}

impl Pool {
    // A lower quota takes effect as connections are returned.
    fn resize(&self, quota: usize) {
        let mut limit = lock(&self.limit);
        if quota > *limit {
            self.permits.add_permits(quota - *limit);
            *limit = quota;
        } else if quota < *limit {
            *limit -= self.permits.forget_permits(*limit - quota);
        }
    }

    // Opens another connection when the last idle one is taken, so that the next request does not
    // have to wait for it.
    fn preopen(
        self: &Arc<Self>,
        service: &ServiceId,
        name: &InstanceId,
        instance: &InstanceConfig,
    ) {
        if !lock(&self.idle).is_empty() {
            return;
        }
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return;
        };
        if self.is_preopening.swap(true, Ordering::AcqRel) {
            return;
        }
        let (pool, service) = (self.clone(), service.clone());
        let (name, instance) = (name.clone(), instance.clone());
        // Not `actix_rt::spawn`: the task that acquires a connection for another host is not
        // bound to a thread.
        tokio::spawn(async move {
            let opened = pool.open(&service, &name, &instance, PREOPEN_TIMEOUT).await;
            if let Ok(connection) = opened {
                pool.add_idle(connection);
            }
            pool.is_preopening.store(false, Ordering::Release);
            drop(permit);
        });
    }

    fn add_idle(&self, connection: UpstreamConnection) {
        lock(&self.idle).push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    async fn open(
        &self,
        service: &ServiceId,
        name: &InstanceId,
        instance: &InstanceConfig,
        wait: Duration,
    ) -> Result<UpstreamConnection, PoolError> {
        let now = Instant::now();
        if lock(&self.refusals).until.is_some_and(|until| now < until) {
            return Err(PoolError::Refused);
        }
        counter!(UPSTREAM_OPENS, "service" => service.to_string(), "instance" => name.to_string())
            .increment(1);
        let opening = UpstreamConnection::open(instance.address, service);
        let opened = tokio::time::timeout(wait, opening).await;
        let opened = opened.map_err(|_| PoolError::Busy)?;
        let mut refusals = lock(&self.refusals);
        if let Err(OpenError::Refused { .. }) = opened {
            let delay = Backoff::default().delay(refusals.count, rand::random());
            refusals.count = refusals.count.saturating_add(1);
            refusals.until = Some(Instant::now() + delay);
        } else {
            *refusals = Refusals::default();
        }
        Ok(opened?)
    }

    // Prefers a connection of the current thread, because another thread's has to be moved.
    fn take_idle(&self) -> Option<UpstreamConnection> {
        let mut idle = lock(&self.idle);
        idle.retain(|entry| entry.since.elapsed() < IDLE_TIMEOUT);
        let thread = std::thread::current().id();
        loop {
            let index = idle
                .iter()
                .rposition(|entry| entry.connection.thread() == thread)
                .or_else(|| idle.len().checked_sub(1))?;
            let entry = idle.remove(index);
            if entry.connection.is_healthy()
                && let Ok(connection) = entry.connection.move_here()
            {
                return Some(connection);
            }
        }
    }
}

impl PooledConnection {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut UpstreamConnection {
        &mut self.connection
    }

    /// Returns a clean connection to the pool: one outside of a transaction whose answers were all
    /// read.
    pub fn put_back(self) {
        self.pool.add_idle(self.connection);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
