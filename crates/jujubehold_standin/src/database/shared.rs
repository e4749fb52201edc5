//! What the connections of one instance share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehold_core::prelude::{InstanceStatus, Position};
use tokio::sync::{Notify, Semaphore, watch};

use super::instance::Instance;
use super::settings::DatabaseSettings;

/// What may be set while the instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Conditions {
    /// Nothing is read or answered while set.
    pub(crate) is_frozen: bool,
    /// No connection is taken or kept while set.
    pub(crate) is_down: bool,
    pub(crate) service_time: Duration,
}

/// Who may cancel what a connection runs.
#[derive(Debug)]
pub(crate) struct Cancellation {
    pub(crate) secret_key: i32,
    pub(crate) cancel_requested: Arc<Notify>,
}

/// State of an instance that is reached from its connections and from its handle.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: DatabaseSettings,
    instance: Mutex<Instance>,
    /// Counts changes of the instance, so that whoever waits for one can.
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) conditions: watch::Sender<Conditions>,
    pub(crate) slots: Semaphore,
    pub(crate) cancellations: Mutex<BTreeMap<i32, Cancellation>>,
    pub(crate) connections: AtomicUsize,
    pub(crate) statements: AtomicUsize,
    /// The callers' connections with a transaction open or a statement running.
    pub(crate) open_transactions: AtomicU32,
}

impl Shared {
    pub(crate) fn new(settings: DatabaseSettings, instance: Instance) -> Self {
        let conditions = Conditions {
            is_frozen: false,
            is_down: false,
            service_time: settings.service_time,
        };
        Self {
            instance: Mutex::new(instance),
            changes: watch::Sender::new(0),
            conditions: watch::Sender::new(conditions),
            slots: Semaphore::new(settings.slots),
            cancellations: Mutex::new(BTreeMap::new()),
            connections: AtomicUsize::new(0),
            statements: AtomicUsize::new(0),
            open_transactions: AtomicU32::new(0),
            settings,
        }
    }

    /// The instance's state, for reading.
    pub(crate) fn instance(&self) -> MutexGuard<'_, Instance> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the instance's state and wakes whoever waits for a change.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Instance) -> T) -> T {
        let result = change(&mut self.instance());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Waits while the instance is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut conditions = self.conditions.subscribe();
        // The sender lives in `self`, so that waiting can't fail.
        let _ = conditions
            .wait_for(|conditions| !conditions.is_frozen)
            .await;
    }

    /// The instance's status, as a connection with that last commit sees it.
    pub(crate) fn status(&self, last_commit: Position) -> InstanceStatus {
        InstanceStatus {
            open_transactions: self.open_transactions.load(Ordering::Relaxed),
            ..self.instance().status(last_commit)
        }
    }

    /// How many callers' connections are open.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}
