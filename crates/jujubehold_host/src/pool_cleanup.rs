//! Closes idle connections that this host no longer needs.

use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::routing_table::RoutingTable;
use crate::shared::Shared;

/// The shortest time between two checks of the pools, which changes of the routing table trigger.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Closes idle connections to instances that other hosts own now, that are leaving or that are no
/// longer configured; runs until its future is dropped.
///
/// Connections in use are closed when their requests end. So no request is interrupted, and the new
/// owner's share becomes available within moments. See docs/notes/ownership-and-forwarding.md.
pub(crate) async fn clean_up_pools(shared: Arc<Shared>) {
    let mut table = shared.table.clone();
    while table.changed().await.is_ok() {
        let latest = Arc::clone(&table.borrow_and_update());
        shared
            .pools
            .close_idle_where(|service, instance| !is_wanted(&latest, service, instance));
        tokio::time::sleep(CLEANUP_INTERVAL).await;
    }
}

fn is_wanted(table: &RoutingTable, service: &ServiceId, instance: &InstanceId) -> bool {
    let Some(route) = table.services.get(service) else {
        return false;
    };
    let Some(config) = route.config.instances.get(instance) else {
        return false;
    };
    // A leaving primary still answers the queries of replicas until another primary has replaced
    // it.
    let has_work =
        config.state == InstanceState::Active || route.view.primary.as_ref() == Some(instance);
    has_work && route.is_owned_here(instance)
}
