//! The types that nearly every module of the workspace uses.

pub use crate::floor::{Floor, FloorCheck};
pub use crate::group_view::{GroupView, Sample};
pub use crate::ids::{
    CustomerId, DomainId, Generation, HostId, InstanceId, Monotonic, Nonce, Position, RegionId,
    RequestId, ServiceId, Term,
};
pub use crate::instance_status::{InstanceStatus, Role};
pub use crate::refusal_reason::RefusalReason;
pub use crate::retry_reason::RetryReason;
pub use crate::service_config::{Confirm, InstanceConfig, InstanceState, ServiceConfig};
pub use crate::statement::StatementClass;
pub use crate::term_history::TermHistory;
pub use crate::verdict::{Refusal, UnknownReason, Verdict};
