//! Records in the store which instances may have confirmed commits.
//!
//! One host keeps the records of the services whose replicas confirm commits; the store's
//! compare-and-swap decides if two do. See docs/notes/confirmed-commits.md.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::call_gate::CallKind;
use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::primary_watchers::acting_rank;
use jujubehold_core::replica_record::ReplicaRecord;
use jujubehold_core::store_version::Revision;
use log::{debug, info};
use smol_str::{SmolStr, format_smolstr};

use super::REPLICAS_PREFIX;
use super::replica_document::{format_replicas, parse_replicas};
use super::status_calls::query_status;
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout, wait_for_turn};
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{CommitOutcome, Store, StoreChange, StoreError};

/// How often the records are compared with the list of instances: far more often than the list
/// forgets an instance that is silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often it is tried to forget instances that are gone.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// How long the replicas may take to receive what the primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a replica is asked whether it has received that.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A record as the store holds it.
#[derive(Debug, Clone, Default)]
pub(super) struct StoredRecord {
    pub(super) record: ReplicaRecord,
    /// The revision of the key; 0 if there is none.
    pub(super) revision: Revision,
}

/// Returns the key of the record of `service`.
pub(super) fn replicas_key(service: &str) -> SmolStr {
    format_smolstr!("{REPLICAS_PREFIX}{service}")
}

/// Reads the record of `service`, which is empty if there is none.
///
/// # Errors
/// Returns an error if the store does not answer, or if the record can't be read.
pub(super) async fn read_replicas<P: Platform>(
    shared: &Shared<P>,
    service: &str,
) -> Result<StoredRecord, StoreError> {
    let key = replicas_key(service);
    let call = shared.store.read(&key);
    let (item, _) = call_with_timeout(shared, StoreCall::Read, STORE_CALL_TIMEOUT, call).await?;
    let Some(item) = item else {
        return Ok(StoredRecord::default());
    };
    Ok(StoredRecord {
        record: parse_replicas(&item.value).ok_or(StoreError::Unreadable)?,
        revision: item.revision,
    })
}

/// Returns the ids of the instances of `service` that are listed.
pub(super) fn listed_instances<P: Platform>(
    shared: &Shared<P>,
    service: &str,
) -> BTreeSet<InstanceId> {
    let upstreams = shared.upstreams_of(service);
    upstreams.iter().map(|upstream| upstream.id()).collect()
}

/// Keeps the records until the future is dropped.
pub(super) async fn keep_records<P: Platform>(shared: Rc<Shared<P>>) {
    let mut records = BTreeMap::new();
    let mut era = 0;
    let mut forget_at = Monotonic::ZERO;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        // Another host may have kept the records meanwhile, or they came back with a copy.
        let known_era = std::mem::replace(&mut era, shared.lead_state.borrow().era);
        if !is_keeper(&shared) || era != known_era {
            records.clear();
            continue;
        }
        keep_all(&shared, &mut records, Step::Extend).await;
        if shared.now() >= forget_at {
            keep_all(&shared, &mut records, Step::Forget).await;
            forget_at = shared.now() + FORGET_INTERVAL;
        }
    }
}

/// What is done with the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Adds the instances that are listed.
    Extend,
    /// Forgets instances that are gone and not needed. This may take seconds.
    Forget,
}

async fn keep_all<P: Platform>(
    shared: &Rc<Shared<P>>,
    records: &mut BTreeMap<ServiceId, StoredRecord>,
    step: Step,
) {
    for service in services_with_records(shared) {
        let kept = keep_record(shared, &service, records, step).await;
        match kept {
            Ok(Kept::Unchanged | Kept::Written) => continue,
            Ok(Kept::Outdated) => {}
            Err(error) => debug!("failed to keep the replica record of {service}: {error}"),
        }
        records.remove(&service);
    }
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kept {
    Unchanged,
    Written,
    /// Another host writes the record, so it has to be read again.
    Outdated,
}

fn is_keeper<P: Platform>(shared: &Shared<P>) -> bool {
    let lead_state = shared.lead_state.borrow();
    let is_listed = lead_state.membership.is_some() && lead_state.has_present_table();
    is_listed && acting_rank(&shared.settings.host, lead_state.members.keys()) == 0
}

fn services_with_records<P: Platform>(shared: &Shared<P>) -> Vec<ServiceId> {
    let configuration = shared.configuration.borrow();
    let services = configuration.iter().flat_map(|one| &one.services);
    services
        .filter(|(_, limits)| limits.sync_replicas > 0)
        .map(|(service, _)| service.clone())
        .collect()
}

async fn keep_record<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    records: &mut BTreeMap<ServiceId, StoredRecord>,
    step: Step,
) -> Result<Kept, StoreError> {
    let Some((primary, term)) = usable_lead(shared, service) else {
        // The host that replaces the primary writes the record.
        return Ok(Kept::Outdated);
    };
    let stored = if let Some(stored) = records.get(service) {
        stored.clone()
    } else {
        wait_for_turn(shared, CallKind::Read).await;
        read_replicas(shared, service).await?
    };
    let listed = listed_instances(shared, service);
    let mut record = stored.record.extended(term, &listed);
    if step == Step::Forget {
        record = without_unneeded(shared, service, &primary, record, &listed).await;
    }
    if record == stored.record {
        records.insert(service.clone(), stored);
        return Ok(Kept::Unchanged);
    }
    if usable_lead(shared, service) != Some((primary, term)) {
        return Ok(Kept::Outdated);
    }
    wait_for_turn(shared, CallKind::Write).await;
    let outcome = write_record(shared, service, &record, stored.revision).await?;
    let CommitOutcome::Committed(revision) = outcome else {
        return Ok(Kept::Outdated);
    };
    info!(service = service.as_str(), term, revision, instances = record.instances.len();
        "replica record written");
    records.insert(service.clone(), StoredRecord { record, revision });
    Ok(Kept::Written)
}

// Returns the primary of `service` and its term, unless it is being replaced.
fn usable_lead<P: Platform>(shared: &Shared<P>, service: &str) -> Option<(InstanceId, Term)> {
    let lead_state = shared.lead_state.borrow();
    let lead = lead_state.table.leads.get(service)?;
    lead.change
        .is_none()
        .then(|| (lead.primary.clone(), lead.term))
}

async fn write_record<P: Platform>(
    shared: &Shared<P>,
    service: &str,
    record: &ReplicaRecord,
    revision: Revision,
) -> Result<CommitOutcome, StoreError> {
    let key = replicas_key(service);
    let change = StoreChange {
        expected: vec![(key.clone(), revision)],
        writes: vec![(key, format_replicas(record), None)],
        ..StoreChange::default()
    };
    let call = shared.store.commit(&change);
    call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, call).await
}

// Forgets the instances that are gone if all listed replicas have received what the primary has now.
// What a forgotten instance has is then in their logs. One whose entry is gone, but that may still be
// running, is kept.
async fn without_unneeded<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    primary: &InstanceId,
    record: ReplicaRecord,
    listed: &BTreeSet<InstanceId>,
) -> ReplicaRecord {
    let removed = shared.removed_upstreams_of(service);
    let mut known = listed.clone();
    known.extend(removed.iter().map(|upstream| upstream.id()));
    let gone = record.missing_from(&known);
    if gone.is_empty() || !shared.is_directory_complete() {
        return record;
    }
    if !have_caught_up(shared, service, primary).await {
        return record;
    }
    let names: Vec<_> = gone.iter().map(SmolStr::as_str).collect();
    info!(service = service.as_str(), instances = names.join(" ").as_str();
        "instances that are gone are no longer needed for what was acknowledged");
    ReplicaRecord {
        instances: record.instances.difference(&gone).cloned().collect(),
        ..record
    }
}

// Returns whether there is a listed replica, and all of them have received what `primary` had when it
// was asked.
async fn have_caught_up<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    primary: &InstanceId,
) -> bool {
    let (mut primaries, replicas): (Vec<_>, Vec<_>) = shared
        .upstreams_of(service)
        .into_iter()
        .partition(|upstream| upstream.id() == *primary);
    let Some(upstream) = primaries.pop() else {
        return false;
    };
    let status = query_status(&upstream, ConnectionPurpose::Status).await;
    let Some(status) = status.filter(|status| status.role == Role::Primary) else {
        return false;
    };
    let give_up_at = shared.now() + CATCH_UP_TIMEOUT;
    for replica in &replicas {
        if !wait_until_received(shared, replica, status.received, give_up_at).await {
            return false;
        }
    }
    !replicas.is_empty()
}

async fn wait_until_received<P: Platform>(
    shared: &Shared<P>,
    replica: &Rc<Upstream<P>>,
    position: LogPosition,
    give_up_at: Monotonic,
) -> bool {
    while shared.now() < give_up_at {
        let status = query_status(replica, ConnectionPurpose::Status).await;
        if status.is_some_and(|status| status.received >= position) {
            return true;
        }
        actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    false
}
