//! Which instance a statement goes to.

use crate::floor::{Floor, FloorCheck};
use crate::group_view::GroupView;
use crate::ids::{InstanceId, Monotonic};
use crate::refusal_reason::RefusalReason;
use crate::service_config::{InstanceState, ServiceConfig};

/// The primary for a write.
///
/// # Errors
/// Says why no instance can take it.
pub fn route_write(config: &ServiceConfig, view: &GroupView) -> Result<InstanceId, RefusalReason> {
    let primary = view.primary.as_ref().ok_or(RefusalReason::NoPrimary)?;
    let instance = config
        .instances
        .get(primary)
        .ok_or(RefusalReason::NoPrimary)?;
    match instance.state {
        InstanceState::Active => Ok(primary.clone()),
        InstanceState::Leaving => Err(RefusalReason::Leaving),
    }
}

/// The instances that may serve a read, the best guess first and the primary last.
///
/// A guess is checked on the connection that serves the read, so a wrong one costs a retry and
/// never a stale answer.
pub fn route_read(
    config: &ServiceConfig,
    view: &GroupView,
    floor: Option<&Floor>,
    now: Monotonic,
) -> Vec<InstanceId> {
    let mut candidates: Vec<_> = config
        .instances
        .iter()
        .filter(|(_, instance)| instance.state == InstanceState::Active)
        .map(|(name, _)| name)
        .filter(|name| view.primary.as_ref() != Some(name))
        .filter(|name| may_serve(view, name, floor))
        .collect();
    candidates.sort_by_key(|name| {
        let sample = view.samples.get(*name);
        sample.map_or(now, |sample| now.saturating_sub(sample.sent_at))
    });
    candidates
        .into_iter()
        .chain(view.primary.as_ref())
        .cloned()
        .collect()
}

fn may_serve(view: &GroupView, instance: &InstanceId, floor: Option<&Floor>) -> bool {
    let (Some(sample), Some(floor)) = (view.samples.get(instance), floor) else {
        return true;
    };
    match floor.check(&sample.status) {
        FloorCheck::Reached | FloorCheck::Behind => true,
        FloorCheck::Cut => false,
    }
}
