//! Which primary a service has after the platform's store was restored from a copy.
//!
//! The restored table of leads may name a primary that was replaced after the copy was made, and
//! changes that were announced since are gone from it. The instances themselves know better: each
//! reports its role and its term, and a promotion starts a later term. So no lead of the restored
//! table is believed by itself. A lead is recorded as usable only if nothing that is known, by the
//! instances or by a host that ran before the restore, is of a later term or shows a change under
//! way. Every other lead is recorded with a change in progress, which is then made like any other:
//! the hosts that may use a primary are waited for. See docs/notes/store-restore.md.

use crate::ids::{HostId, InstanceId, Term};
use crate::instance_status::Role;
use crate::lead_table::{Lead, LeadChange};
use crate::value_type;

value_type! {
    /// What an instance reports about itself after the store was restored.
    pub struct InstanceReport {
        /// The instance.
        pub instance: InstanceId,
        /// Its role.
        pub role: Role,
        /// The term in which it is primary or that it follows.
        pub term: Term,
        /// Whether it is a replica that is marked to take over.
        pub is_marked: bool,
    }
}

/// Returns the lead of a service to be recorded by `host`; `None` if nothing is known of one.
///
/// `records` are the leads that `host` knew before the restore and that the restored table contains.
pub fn recovered_lead(host: &HostId, records: &[Lead], reports: &[InstanceReport]) -> Option<Lead> {
    let record_terms = records.iter().map(|lead| lead.term);
    let report_terms = reports.iter().map(|report| report.term);
    let newest_term = record_terms.chain(report_terms).max()?;
    // Of two records of one term, the one with a change is the later one.
    let newest_record = records
        .iter()
        .max_by_key(|lead| (lead.term, lead.change.is_some()));
    let primary = reports
        .iter()
        .find(|report| report.role == Role::Primary && report.term == newest_term);
    if let Some(primary) = primary {
        let is_changing = newest_record.is_some_and(|lead| {
            let is_of_term = lead.term == newest_term || lead.term == 0;
            lead.primary == primary.instance && is_of_term && lead.change.is_some()
        });
        let is_marked = reports.iter().any(|report| report.is_marked);
        return Some(Lead {
            primary: primary.instance.clone(),
            term: newest_term,
            change: (is_changing || is_marked).then(|| change_by(host)),
        });
    }
    let record = newest_record?;
    let has_answered = reports
        .iter()
        .any(|report| report.instance == record.primary);
    // A primary that does not answer this host may answer others. It is replaced if it is lost.
    let is_usable = record.term == newest_term && record.change.is_none() && !has_answered;
    Some(Lead {
        primary: record.primary.clone(),
        term: record.term,
        change: (!is_usable).then(|| change_by(host)),
    })
}

fn change_by(host: &HostId) -> LeadChange {
    LeadChange {
        by: host.clone(),
        is_planned: false,
        awaits_instance: false,
    }
}
