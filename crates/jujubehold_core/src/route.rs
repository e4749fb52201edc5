//! Which instance a write goes to.

use crate::group_view::GroupView;
use crate::ids::InstanceId;
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
