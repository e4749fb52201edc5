//! Owners of connections that start again beside hosts that keep connections for control calls.

use std::time::{Duration, Instant};

use crate::caller::Caller;
use crate::installation::{Installation, Layout};

/// Two hosts own connections, and each of the four wants to keep one for control calls.
const LAYOUT: Layout = Layout {
    test: "restarted-owner",
    host_count: 4,
    max_connections: 3,
    drain_timeout: Duration::from_secs(4),
    statement_timeout: Duration::from_secs(1),
};

// Guards against hosts that keep idle connections which an owner needs: those that use it were told
// queue_full for as long as these hosts ran.
#[actix_rt::test]
async fn an_owner_that_starts_again_gets_a_connection() {
    let mut installation = Installation::start(LAYOUT).await;
    for number in 0..LAYOUT.host_count {
        installation.hosts[number].signal("-TERM");
        let exit = installation.hosts[number]
            .wait_for_exit(Instant::now())
            .await;
        assert_eq!(exit, Some(0));
        installation.hosts[number].restart();
        for host in &installation.hosts {
            Caller::open_when_served(host.callers).await;
        }
    }
}
