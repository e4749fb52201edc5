//! Calls to the store with a time limit, counted and logged.

use std::cell::Cell;

use log::{info, warn};
use metrics::counter;

use crate::metric_names::STORE_CALLS;
use crate::prelude::*;
use crate::protocol::StoreError;
use crate::shared::millis;

/// How long one call may take: longer than a slow store's answer, shorter than a third of a window.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Whether the store answers this host.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// Since when it gave no answer.
    lost_at: Cell<Option<Monotonic>>,
    /// When it answered again after it was lost.
    regained_at: Cell<Option<Monotonic>>,
}

impl StoreHealth {
    /// Whether the store is lost, or came back less than `span` before `now`.
    pub(crate) fn was_lost_within(&self, now: Monotonic, span: Duration) -> bool {
        let is_recent = |at: Monotonic| now.saturating_sub(at) < span;
        self.lost_at.get().is_some() || self.regained_at.get().is_some_and(is_recent)
    }

    fn note(&self, now: Monotonic, call: &'static str, error: Option<&StoreError>) {
        match (error, self.lost_at.get()) {
            (Some(error), None) => {
                self.lost_at.set(Some(now));
                warn!(call, error:% = error, now_ms = millis(now); "the store is lost");
            }
            (None, Some(lost_at)) => {
                self.lost_at.set(None);
                self.regained_at.set(Some(now));
                let lost_ms = millis(now.saturating_sub(lost_at));
                info!(call, lost_ms, now_ms = millis(now); "the store is back");
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
}

/// Makes a call within `limit`.
///
/// A call that is given up takes its connection with it, so that nothing of it arrives later by
/// this host's doing; a change may still have been made.
pub(crate) async fn within<P: Platform, T>(
    shared: &Shared<P>,
    name: &'static str,
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let answer = tokio::time::timeout(limit, call).await;
    let result = answer.unwrap_or(Err(StoreError::TimedOut));
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    counter!(STORE_CALLS, "call" => name, "outcome" => outcome).increment(1);
    let error = result.as_ref().err().filter(|error| is_loss(error));
    shared.store_health.note(shared.now(), name, error);
    result
}

// An answer that the store gave on purpose says that it is there.
fn is_loss(error: &StoreError) -> bool {
    match error {
        StoreError::Compacted | StoreError::LeaseEnded => false,
        StoreError::Refused { .. }
        | StoreError::TimedOut
        | StoreError::Broken(_)
        | StoreError::Unreadable => true,
    }
}
