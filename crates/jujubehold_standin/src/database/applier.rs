//! Applies received commits, which makes them visible to readers, once the apply lag has passed.

use std::sync::Arc;
use std::time::Instant;

use super::shared::Shared;

/// Applies log entries as they become due, until the runtime ends.
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
                // `shared` holds the sender, so waiting cannot fail.
                let _ = changes.changed().await;
            }
            Err(error) => {
                log::error!(instance = shared.settings.name.as_str(); "cannot apply log: {error}");
                let _ = changes.changed().await;
            }
        }
    }
}
