//! The state that the platform's services share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tonic::Status;

use super::faults::{CallKind, Faults, Outage};
use super::settings::PlatformSettings;
use super::store::Store;

/// The store, the active faults and the call counts.
#[derive(Debug)]
pub(crate) struct Shared {
    store: Mutex<Store>,
    counts: Mutex<BTreeMap<CallKind, u64>>,
    pub(crate) faults: watch::Sender<Faults>,
    /// Counts changes of the store, to wake the watches.
    pub(crate) changes: watch::Sender<u64>,
    /// Counts restores, each of which ends all watches.
    pub(crate) restores: watch::Sender<u64>,
}

impl Shared {
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let faults = Faults {
            outage: Outage::None,
            call_time: settings.call_time,
            answers_to_lose: 0,
        };
        Self {
            store: Mutex::new(Store::default()),
            counts: Mutex::new(BTreeMap::new()),
            faults: watch::Sender::new(faults),
            changes: watch::Sender::new(0),
            restores: watch::Sender::new(0),
        }
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Modifies the store and wakes the watches.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = change(&mut self.store());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Counts a call and applies the active outage and call delay to it.
    pub(crate) async fn admit_call(&self, kind: CallKind) -> Result<(), Status> {
        self.count(kind);
        self.check_outage().await?;
        let call_time = self.faults.borrow().call_time;
        if !call_time.is_zero() {
            tokio::time::sleep(call_time).await;
        }
        Ok(())
    }

    fn count(&self, kind: CallKind) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(kind).or_default() += 1;
    }

    /// Waits until a hanging outage ends; fails during a refusing one.
    pub(crate) async fn check_outage(&self) -> Result<(), Status> {
        let mut faults = self.faults.subscribe();
        // `self` holds the sender, so waiting cannot fail.
        let _ = faults
            .wait_for(|faults| faults.outage != Outage::Hang)
            .await;
        match self.faults.borrow().outage {
            Outage::Refuse => Err(Status::unavailable("the service is out")),
            Outage::None | Outage::Hang => Ok(()),
        }
    }

    /// Returns the answer to a change, or an error if the answer is to be lost.
    pub(crate) fn respond<T>(&self, response: T) -> Result<tonic::Response<T>, Status> {
        let mut is_lost = false;
        self.faults.send_if_modified(|faults| {
            is_lost = faults.answers_to_lose > 0;
            faults.answers_to_lose = faults.answers_to_lose.saturating_sub(1);
            is_lost
        });
        if is_lost {
            return Err(Status::unavailable("the connection was lost"));
        }
        Ok(tonic::Response::new(response))
    }

    pub(crate) fn counts(&self) -> BTreeMap<CallKind, u64> {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn restore(&self, revision: i64) {
        self.change(|store| store.restore(revision));
        self.restores.send_modify(|count| *count += 1);
    }
}
