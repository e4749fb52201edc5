//! Which instance leads each service, and which of them are being replaced.
//!
//! The table lives in the platform's store under one key and changes by compare-and-swap, so its
//! revision orders all changes of primary. See docs/notes/platform-path.md.

use std::collections::BTreeMap;

use crate::ids::{HostId, InstanceId, ServiceId};
use crate::value_type;

/// The store's revision of a value; 0 before the first.
pub type Revision = u64;

value_type! {
    /// The leads of all services as of one revision.
    #[derive(Default)]
    pub struct LeadTable {
        /// The store's revision of the table.
        pub revision: Revision,
        /// The lead of each service.
        pub leads: BTreeMap<ServiceId, Lead>,
    }

    /// The lead of one service.
    pub struct Lead {
        /// The instance that leads, or led until the change that is under way.
        pub primary: InstanceId,
        /// The change under way. While there is one, no host may use the primary.
        pub change: Option<LeadChange>,
    }

    /// A change of primary that was announced and is not over.
    pub struct LeadChange {
        /// The host that makes the change.
        pub by: HostId,
        /// Whether the primary is alive and leaves by plan, so that open transactions may end.
        pub is_planned: bool,
    }
}

impl LeadTable {
    /// Takes in a table that the store gave; whether it is news. An older one changes nothing.
    pub fn adopt(&mut self, table: LeadTable) -> bool {
        if table.revision <= self.revision {
            return false;
        }
        *self = table;
        true
    }

    /// The instance that may be used as the primary of `service`.
    pub fn usable_primary(&self, service: &str) -> Option<&InstanceId> {
        let lead = self.leads.get(service)?;
        lead.change.is_none().then_some(&lead.primary)
    }

    /// The same table with one lead changed.
    #[must_use]
    pub fn with_lead(&self, service: &ServiceId, lead: Lead) -> Self {
        let mut table = self.clone();
        table.leads.insert(service.clone(), lead);
        table
    }
}
