//! A small installation on loopback, of host processes and of stand-ins behind the fault proxy.

mod caller;
mod host_process;
mod installation;
mod links;
mod named_load;
mod workload;

pub(crate) use caller::{Answer, Caller};
pub(crate) use installation::{Installation, Layout};
pub(crate) use named_load::{NamedLoad, RequestKind, check_completed};
pub(crate) use workload::{Report, Workload};

use std::time::Duration;

/// The time after which a wait fails as hung.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until `condition` holds; panics after [`HANG_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFnMut() -> bool) {
    let mut condition = condition;
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}
