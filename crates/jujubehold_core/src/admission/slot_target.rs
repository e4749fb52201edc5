//! The instances whose slots a statement uses.

use crate::ids::InstanceId;
use crate::key_type;
use crate::service_config::{InstanceState, ServiceConfig};
use crate::statement::StatementClass;

key_type! {
    /// The instances that a statement can run on; each target has a queue of its own.
    ///
    /// With separate queues a stalled primary delays writes only, and reads can't use up the
    /// primary's slots, the only ones that can run writes. See docs/notes/admission.md.
    pub enum SlotTarget {
        /// The primary, the only instance that can run a write or open a transaction that may
        /// write.
        Primary,
        /// The replicas, which reads try before the primary.
        Readers,
    }
}

impl SlotTarget {
    /// Returns the target of a statement of `class`.
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

    /// Returns how many statements the target's instances run at once.
    ///
    /// In a group without active replicas the primary serves the reads, which then share its slots.
    pub fn slots(self, config: &ServiceConfig, primary: Option<&InstanceId>) -> usize {
        let slots = usize::try_from(config.slots).unwrap_or(usize::MAX).max(1);
        match self {
            Self::Primary => slots,
            Self::Readers => slots.saturating_mul(active_replica_count(config, primary).max(1)),
        }
    }
}

fn active_replica_count(config: &ServiceConfig, primary: Option<&InstanceId>) -> usize {
    config
        .instances
        .iter()
        .filter(|(name, instance)| {
            instance.state == InstanceState::Active && Some(*name) != primary
        })
        .count()
}
