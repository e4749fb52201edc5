//! Stops waiting for a primary that was replaced.

use std::future::{Future, pending};
use std::time::Duration;

use jujubehold_core::prelude::*;

use super::batch_error::BatchError;
use crate::shared::Shared;

/// How long a replaced primary may still answer, because an error from one that is only fenced
/// proves that nothing ran.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs `work` on `instance`, a primary, until another instance has replaced it.
///
/// A replaced primary may never answer, and its answer could not be acknowledged. So the caller
/// learns immediately, rather than at its deadline, that the outcome is unknown. See
/// docs/notes/write-path.md.
pub(crate) async fn while_primary<T>(
    shared: &Shared,
    service: &ServiceId,
    instance: &InstanceId,
    work: impl Future<Output = Result<T, BatchError>>,
) -> Result<T, BatchError> {
    open_while_primary(shared, service, instance, work)
        .await
        .unwrap_or(Err(BatchError::Unknown(UnknownReason::AuthorityLost)))
}

/// Runs `opening`, which sends no statement, until another instance has replaced the primary;
/// returns `None` in that case.
pub(crate) async fn open_while_primary<T>(
    shared: &Shared,
    service: &ServiceId,
    instance: &InstanceId,
    opening: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        opened = opening => Some(opened),
        () = until_replaced(shared, service, instance) => None,
    }
}

/// Completes [`FINAL_ANSWER_TIMEOUT`] after an instance other than `instance` became the primary.
pub(super) async fn until_replaced(shared: &Shared, service: &ServiceId, instance: &InstanceId) {
    let mut table = shared.table.clone();
    loop {
        let route = table.borrow_and_update().services.get(service).cloned();
        let primary = route.and_then(|route| route.view.primary.clone());
        if primary.is_some_and(|primary| primary != *instance) {
            tokio::time::sleep(FINAL_ANSWER_TIMEOUT).await;
            return;
        }
        if table.changed().await.is_err() {
            // The control thread ends only with the host.
            pending::<()>().await;
        }
    }
}
