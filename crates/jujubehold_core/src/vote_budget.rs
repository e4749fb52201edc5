//! On how many primaries a host votes at the same time.
//!
//! A host that has no answer from a primary tells the other watchers several times a second. A host
//! whose own link is full misses all primaries, and as many votes as there are services would keep
//! the link full. If many primaries are really lost, all watchers vote on the same ones first, and
//! on the next ones as these are replaced.

use crate::ids::ServiceId;

/// The maximum number of services on whose primaries a host votes at the same time.
pub const MAX_VOTED_SERVICES: usize = 16;

/// Returns the services on whose primaries a host votes, of those whose primary it cannot reach. All
/// hosts pick by the same order.
pub fn voted_services(unreachable: impl IntoIterator<Item = ServiceId>) -> Vec<ServiceId> {
    let mut services: Vec<_> = unreachable.into_iter().collect();
    services.sort();
    services.truncate(MAX_VOTED_SERVICES);
    services
}
