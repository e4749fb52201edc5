//! Which instance is the primary of each service, and which primaries are being replaced.
//!
//! The table is stored in the platform's store under one key and changes by compare-and-swap, so
//! its revision orders all changes of primary within an era of the store. See
//! docs/notes/platform-path.md.

use std::collections::BTreeMap;

use crate::ids::{HostId, InstanceId, ServiceId, Term};
use crate::store_version::{Revision, StoreEra, StoreVersion};
use crate::value_type;

value_type! {
    /// The leads of all services as of one revision.
    #[derive(Default)]
    pub struct LeadTable {
        /// The era of the store in which a host wrote the table. A table that the store holds from an
        /// earlier era came back with a copy and may name primaries that were replaced.
        pub era: StoreEra,
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
        /// Whether the change can't be completed until an instance answers that does not: it may alone
        /// have an acknowledged commit.
        pub awaits_instance: bool,
    }
}

impl LeadTable {
    /// Replaces this table by a newer one from the store; returns whether it was newer. An older
    /// table changes nothing.
    pub fn adopt(&mut self, table: LeadTable) -> bool {
        if table.version() <= self.version() {
            return false;
        }
        *self = table;
        true
    }

    /// Returns the point in the store's history at which the table was written.
    pub fn version(&self) -> StoreVersion {
        StoreVersion {
            era: self.era,
            revision: self.revision,
        }
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
