//! The state that the connections of an instance share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehold_core::prelude::{InstanceStatus, Position};
use tokio::sync::{Notify, Semaphore, watch};

use super::instance::Instance;
use super::settings::DatabaseSettings;
use super::statement_run::StatementRun;

/// Conditions that can be changed while the instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Conditions {
    /// While set, the instance reads and answers nothing.
    pub(crate) is_frozen: bool,
    /// While set, the instance has no open connections and accepts none.
    pub(crate) is_down: bool,
    pub(crate) service_time: Duration,
}

/// The secret key and the signal for cancelling the statement that a connection runs.
#[derive(Debug)]
pub(crate) struct Cancellation {
    pub(crate) secret_key: i32,
    pub(crate) cancel_requested: Arc<Notify>,
}

/// The state of an instance that its connections and its handle share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: DatabaseSettings,
    instance: Mutex<Instance>,
    /// Counts changes of the instance, to wake tasks that wait for one.
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) conditions: watch::Sender<Conditions>,
    pub(crate) slots: Semaphore,
    pub(crate) cancellations: Mutex<BTreeMap<i32, Cancellation>>,
    pub(crate) connections: AtomicUsize,
    pub(crate) statements: AtomicUsize,
    statement_runs: Mutex<Vec<StatementRun>>,
    /// The number of callers' connections with an open transaction or a running statement.
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
            statement_runs: Mutex::new(Vec::new()),
            open_transactions: AtomicU32::new(0),
            settings,
        }
    }

    /// Locks the instance's state. A change that other tasks may wait for goes through
    /// [`Self::change`], which wakes them.
    pub(crate) fn instance(&self) -> MutexGuard<'_, Instance> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Modifies the instance's state and wakes the tasks that wait for a change.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Instance) -> T) -> T {
        let result = change(&mut self.instance());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Waits while the instance is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut conditions = self.conditions.subscribe();
        // `self` holds the sender, so waiting cannot fail.
        let _ = conditions
            .wait_for(|conditions| !conditions.is_frozen)
            .await;
    }

    /// Returns the instance's status, as reported on a connection with this last commit.
    pub(crate) fn status(&self, last_commit: Position) -> InstanceStatus {
        InstanceStatus {
            open_transactions: self.open_transactions.load(Ordering::Relaxed),
            ..self.instance().status(last_commit)
        }
    }

    /// Records a prepared statement that is about to run, if the settings ask for it.
    pub(crate) fn record_run(&self, run: StatementRun) {
        if self.settings.records_runs {
            self.locked_runs().push(run);
        }
    }

    /// Returns the recorded prepared statements, in the order in which they ran.
    pub(crate) fn statement_runs(&self) -> Vec<StatementRun> {
        self.locked_runs().clone()
    }

    fn locked_runs(&self) -> MutexGuard<'_, Vec<StatementRun>> {
        self.statement_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections of callers.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}
