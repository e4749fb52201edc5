//! The pools of all instances that this host holds connections to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use jujubehold_core::prelude::*;
use jujubehold_pg::FrameError;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::connection::UpstreamConnection;

/// Pools by service and instance.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Mutex<BTreeMap<(ServiceId, InstanceId), Arc<Pool>>>,
}

#[derive(Debug)]
struct Pool {
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<UpstreamConnection>>,
}

/// A connection that one request holds; it is closed when dropped, and pooled by
/// [`PooledConnection::put_back`].
#[derive(Debug)]
pub struct PooledConnection {
    connection: UpstreamConnection,
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Pools {
    /// Takes a connection to `instance`, an idle one where there is one.
    ///
    /// # Errors
    /// The instance can't be reached or refuses a connection.
    ///
    /// # Panics
    /// Never: the semaphore is not closed.
    pub async fn acquire(
        &self,
        service: &ServiceId,
        name: &InstanceId,
        instance: &InstanceConfig,
    ) -> Result<PooledConnection, FrameError> {
        let pool = self.pool(service, name, instance.connections);
        let permit = pool
            .permits
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let idle = pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop();
        let connection = match idle {
            Some(connection) => connection,
            None => UpstreamConnection::open(instance.address, service).await?,
        };
        Ok(PooledConnection {
            connection,
            pool,
            _permit: permit,
        })
    }

    fn pool(&self, service: &ServiceId, instance: &InstanceId, connections: u32) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.clone(), instance.clone());
        let new_pool = || {
            Arc::new(Pool {
                permits: Arc::new(Semaphore::new(connections as usize)),
                idle: Mutex::new(Vec::new()),
            })
        };
        pools.entry(key).or_insert_with(new_pool).clone()
    }
}

impl PooledConnection {
    /// The connection itself.
    pub fn connection(&mut self) -> &mut UpstreamConnection {
        &mut self.connection
    }

    /// Gives a clean connection back: outside of a transaction, with every answer read.
    pub fn put_back(self) {
        self.pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(self.connection);
    }
}
