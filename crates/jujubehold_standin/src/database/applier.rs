//! Makes received commits visible once the lag has passed.

use std::sync::Arc;
use std::time::Instant;

use super::shared::Shared;

/// Applies what is due until the runtime ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        changes.borrow_and_update();
        shared.wait_while_frozen().await;
        let before = shared.instance().status(0).applied;
        let due_at = shared.instance().apply_due(Instant::now());
        if shared.instance().status(0).applied != before {
            shared.change(|_| ());
        }
        match due_at {
            Ok(Some(due_at)) => {
                tokio::select! {
                    () = tokio::time::sleep_until(due_at.into()) => {}
                    _ = changes.changed() => {}
                }
            }
            Ok(None) => {
                // The sender lives in `shared`.
                let _ = changes.changed().await;
            }
            Err(error) => {
                log::error!(instance = shared.settings.name.as_str(); "apply failed: {error}");
                let _ = changes.changed().await;
            }
        }
    }
}
