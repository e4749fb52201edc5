//! Selects the instance that a write is sent to.

use crate::group_view::GroupView;
use crate::ids::InstanceId;
use crate::refusal_reason::RefusalReason;
use crate::service_config::{InstanceState, ServiceConfig};

/// Returns the primary, which runs all writes.
///
/// # Errors
/// Returns the reason if no primary is known or the primary is leaving.
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
