//! Which instance is the primary of each service, and which primaries are being replaced.
//!
//! The table is stored in the platform's store under one key and changes by compare-and-swap, so
//! its revision orders all changes of primary. See docs/notes/platform-path.md.

use std::collections::BTreeMap;

use crate::ids::{HostId, InstanceId, ServiceId, Term};
use crate::value_type;

/// The store's revision of a value; 0 before the first one.
pub type Revision = u64;

/// A number that rises each time that the store is restored from a copy; 0 if the store states none.
/// A restored store gives out revisions again, so that those of two eras can't be compared.
pub type StoreEra = u64;

value_type! {
    /// The leads of all services as of one revision.
    #[derive(Default)]
    pub struct LeadTable {
        /// The store's revision of the table.
        pub revision: Revision,
        /// The lead of each service.
        pub leads: BTreeMap<ServiceId, Lead>,
    }

    /// The lead of one service: its primary and any change in progress.
    pub struct Lead {
        /// The primary, or the previous one while a change is in progress.
        pub primary: InstanceId,
        /// The term in which that instance leads; 0 if it is not known.
        pub term: Term,
        /// The change in progress. While there is one, no host may use the primary.
        pub change: Option<LeadChange>,
    }

    /// A change of primary that was announced and is not complete.
    pub struct LeadChange {
        /// The host that makes the change.
        pub by: HostId,
        /// Whether the change is planned: the primary is alive, so open transactions may end.
        pub is_planned: bool,
    }
}

impl LeadTable {
    /// Replaces this table by a newer one from the store; returns whether it was newer. An older
    /// table changes nothing.
    pub fn adopt(&mut self, table: LeadTable) -> bool {
        if table.revision <= self.revision {
            return false;
        }
        *self = table;
        true
    }

    /// Returns the instance that may be used as the primary of `service`.
    pub fn usable_primary(&self, service: &str) -> Option<&InstanceId> {
        let lead = self.leads.get(service)?;
        lead.change.is_none().then_some(&lead.primary)
    }

    /// Returns a copy of the table with one lead replaced.
    #[must_use]
    pub fn with_lead(&self, service: &ServiceId, lead: Lead) -> Self {
        self.with_leads([(service.clone(), lead)])
    }

    /// Returns a copy of the table with these leads replaced or added.
    #[must_use]
    pub fn with_leads(&self, leads: impl IntoIterator<Item = (ServiceId, Lead)>) -> Self {
        let mut table = self.clone();
        table.leads.extend(leads);
        table
    }
}
