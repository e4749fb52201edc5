//! Calls the store with a timeout, counts the calls and what they receive, and logs outages.

use std::cell::{Cell, RefCell};

use jujubehold_core::call_gate::{CallGate, CallKind};
use jujubehold_core::transfer_timeout::TransferTimeout;
use log::{info, warn};
use metrics::counter;

use crate::metric_names::{STORE_CALLS, STORE_RECEIVED_BYTES};
use crate::prelude::*;
use crate::protocol::{CallProgress, StoreError};
use crate::shared::millis;

/// The timeout of one call: longer than a slow store takes to answer, shorter than a third of the
/// proof window.
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Asks or waits for changes.
    Watch,
    /// Lists the items that operators and instances write.
    List,
    /// Lists the items that hosts write.
    ListOwn,
    /// Reads a host's entry or name.
    Read,
    /// Reads the table of leads.
    ReadLead,
    /// Reads which host last ordered a promotion.
    ReadDuty,
    /// Changes items.
    Commit,
    /// Grants a lease.
    GrantLease,
    /// Renews a lease.
    RenewLease,
    /// Revokes a lease.
    EndLease,
}

impl StoreCall {
    // Returns the name used in metrics and logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::List => "list",
            Self::ListOwn => "list_own",
            Self::Read => "read",
            Self::ReadLead => "read_lead",
            Self::ReadDuty => "read_duty",
            Self::Commit => "commit",
            Self::GrantLease => "grant_lease",
            Self::RenewLease => "renew_lease",
            Self::EndLease => "end_lease",
        }
    }

    fn kind(self) -> CallKind {
        match self {
            Self::Watch
            | Self::List
            | Self::ListOwn
            | Self::Read
            | Self::ReadLead
            | Self::ReadDuty => CallKind::Read,
            Self::Commit | Self::GrantLease | Self::RenewLease | Self::EndLease => CallKind::Write,
        }
    }
}

/// Tracks whether the store answers this host.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// When the current outage began, if there is one.
    unavailable_since: Cell<Option<Monotonic>>,
    /// When the store answered again after its last outage.
    recovered_at: Cell<Option<Monotonic>>,
    gate: RefCell<CallGate>,
}

impl StoreHealth {
    /// Returns whether the store is unavailable, or recovered less than `span` before `now`.
    pub(crate) fn was_unavailable_within(&self, now: Monotonic, span: Duration) -> bool {
        let is_recent = |at: Monotonic| now.saturating_sub(at) < span;
        self.unavailable_since.get().is_some() || self.recovered_at.get().is_some_and(is_recent)
    }

    /// Records that the store was restored from a copy. Entries may be missing for as long as after an
    /// outage.
    pub(crate) fn note_restored(&self, now: Monotonic) {
        self.recovered_at.set(Some(now));
    }

    fn note(&self, now: Monotonic, call: StoreCall, error: Option<&StoreError>) {
        let mut gate = self.gate.borrow_mut();
        match error {
            Some(_) => gate.note_failed(call.kind(), now, rand::random()),
            None => gate.note_answered(),
        }
        let call = call.as_str();
        match (error, self.unavailable_since.get()) {
            (Some(error), None) => {
                self.unavailable_since.set(Some(now));
                warn!(call, error:% = error, now_ms = millis(now); "the store is unavailable");
            }
            (None, Some(unavailable_since)) => {
                self.unavailable_since.set(None);
                self.recovered_at.set(Some(now));
                let lost_ms = millis(now.saturating_sub(unavailable_since));
                info!(call, lost_ms, now_ms = millis(now); "the store is available again");
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
}

/// Waits until a background task may make a call of this kind: at once while the store answers such
/// calls, otherwise in turn with the host's other tasks.
pub(crate) async fn wait_for_turn<P: Platform>(shared: &Shared<P>, kind: CallKind) {
    loop {
        let now = shared.now();
        let admitted = shared
            .store_health
            .gate
            .borrow_mut()
            .admit(kind, now, rand::random());
        let Err(next_call_at) = admitted else {
            return;
        };
        actix_rt::time::sleep(next_call_at.saturating_sub(now)).await;
    }
}

/// Makes a call with the timeout `limit`.
///
/// A call that times out closes its connection, so that this host sends nothing of it later; a
/// change may still have been made.
pub(crate) async fn call_with_timeout<P: Platform, T>(
    shared: &Shared<P>,
    name: StoreCall,
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let answer = tokio::time::timeout(limit, call).await;
    let result = answer.unwrap_or(Err(StoreError::TimedOut));
    note_result(shared, name, &result);
    result
}

/// Makes a call whose answer may be large. It is given up when nothing of the answer has arrived
/// for `idle_limit`, and by twice that time at the latest, or when it arrives too slowly.
pub(crate) async fn transfer_with_timeout<P: Platform, T>(
    shared: &Shared<P>,
    name: StoreCall,
    idle_limit: Duration,
    progress: &CallProgress,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let result = tokio::select! {
        answer = call => answer,
        () = wait_until_idle(shared, idle_limit, progress) => Err(StoreError::TimedOut),
    };
    counter!(STORE_RECEIVED_BYTES, "call" => name.as_str()).increment(progress.received_bytes());
    note_result(shared, name, &result);
    result
}

async fn wait_until_idle<P: Platform>(
    shared: &Shared<P>,
    idle_limit: Duration,
    progress: &CallProgress,
) {
    let mut timeout = TransferTimeout::new(shared.now(), idle_limit);
    while !timeout.is_expired(shared.now()) {
        let pause = timeout.expires_at().saturating_sub(shared.now());
        actix_rt::time::sleep(pause).await;
        timeout.note_received(shared.now(), progress.received_bytes());
    }
}

fn note_result<P: Platform, T>(
    shared: &Shared<P>,
    name: StoreCall,
    result: &Result<T, StoreError>,
) {
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    counter!(STORE_CALLS, "call" => name.as_str(), "outcome" => outcome).increment(1);
    let error = result
        .as_ref()
        .err()
        .filter(|error| indicates_outage(error));
    shared.store_health.note(shared.now(), name, error);
    shared.note_store_era();
}

// An error that the store returns on purpose shows that it is available.
fn indicates_outage(error: &StoreError) -> bool {
    match error {
        StoreError::Compacted | StoreError::LeaseEnded | StoreError::Restored => false,
        StoreError::Refused { .. }
        | StoreError::TimedOut
        | StoreError::Broken(_)
        | StoreError::Unreadable => true,
    }
}
