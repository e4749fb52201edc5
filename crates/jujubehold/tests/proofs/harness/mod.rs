//! A small installation on loopback: host processes, and stand-ins behind the fault proxy.

mod caller;
mod host_process;
mod installation;
mod links;
mod named_load;
mod workload;

pub(crate) use caller::{Answer, Caller};
pub(crate) use installation::{Installation, Layout};
pub(crate) use named_load::{Named, NamedLoad, check_settled};
pub(crate) use workload::{Report, Workload};

use std::time::Duration;

/// After how long a test counts as hung.
pub(crate) const HANG: Duration = Duration::from_mins(1);

/// Waits for a state that must come.
pub(crate) async fn until(what: &str, is_so: impl AsyncFnMut() -> bool) {
    let mut is_so = is_so;
    let wait = async {
        while !is_so().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(HANG, wait).await;
    assert!(waited.is_ok(), "never came: {what}");
}
