//! Whose slots a statement takes.

use crate::ids::InstanceId;
use crate::key_type;
use crate::service_config::{InstanceState, ServiceConfig};
use crate::statement::StatementClass;

key_type! {
    /// The instances that a statement can run on, each kind with a queue of its own.
    ///
    /// A primary that stands still then holds up writes alone, and reads can't take the slots that
    /// only it has for writes. See docs/notes/admission.md.
    pub enum SlotTarget {
        /// The primary: a write or the opening of a transaction can run nowhere else.
        Primary,
        /// The instances that reads go to before they go to the primary.
        Readers,
    }
}

impl SlotTarget {
    /// The target of a statement of `class`.
    pub fn of(class: StatementClass) -> Self {
        match class {
            StatementClass::Read | StatementClass::BeginReadOnly => Self::Readers,
            StatementClass::Write
            | StatementClass::Begin
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::Session
            | StatementClass::Unsupported => Self::Primary,
        }
    }

    /// How many statements the target's instances run at once.
    ///
    /// A group without replicas that take work serves its reads by the primary, whose slots they
    /// then share.
    pub fn slots(self, config: &ServiceConfig, primary: Option<&InstanceId>) -> usize {
        let slots = usize::try_from(config.slots).unwrap_or(usize::MAX).max(1);
        match self {
            Self::Primary => slots,
            Self::Readers => slots.saturating_mul(replica_count(config, primary).max(1)),
        }
    }
}

fn replica_count(config: &ServiceConfig, primary: Option<&InstanceId>) -> usize {
    config
        .instances
        .iter()
        .filter(|(name, instance)| {
            instance.state == InstanceState::Active && Some(*name) != primary
        })
        .count()
}
