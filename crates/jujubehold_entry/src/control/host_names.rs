//! Records the names of the hosts in the store, so that hosts know how many may use the quotas.
//!
//! A host's entry in the list of hosts ends with its lease, also while the host runs and the store
//! is unavailable. Its name stays until it has been off the list for long. One host also records
//! which processes have run for long.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use bytes::Bytes;
use jujubehold_core::call_gate::CallKind;
use jujubehold_core::long_lived::ListedProcesses;
use jujubehold_core::quota::{HostCount, NameRecord, min_process_age};
use jujubehold_core::recorded_names::UnlistedNames;
use jujubehold_core::store_version::Revision;
use log::{debug, info};
use smol_str::{SmolStr, format_smolstr};

use super::member_document::parse_member;
use super::quotas::has_quotas;
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout, wait_for_turn};
use super::{HOSTS_PREFIX, LONG_LIVED_KEY, NAMES_PREFIX};
use crate::prelude::*;
use crate::protocol::{Store, StoreChange, StoreError, StoreListing};

/// How often this host checks whether its name has to be read or recorded, and whether others have
/// to be removed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long after its start a host asks the store for its name if no listing contained it.
const LOOKUP_DELAY: Duration = Duration::from_secs(3);
/// The value of a name that some hosts may not know yet.
const RECENT_VALUE: &[u8] = b"recent";
/// The largest number of names that are removed by one call.
const MAX_REMOVALS: usize = 10;

/// What this host found in the store about the names and processes of the hosts.
#[derive(Debug, Default)]
pub(crate) struct HostNames {
    unlisted: RefCell<UnlistedNames>,
    processes: RefCell<ListedProcesses>,
    long_lived: RefCell<LongLivedRecord>,
}

/// The record of the processes that have run for long.
#[derive(Debug, Default)]
struct LongLivedRecord {
    processes: BTreeMap<HostId, Nonce>,
    /// The revision of the record itself.
    revision: Revision,
}

/// Returns the key of the name of `host`.
pub(super) fn name_key(host: &str) -> SmolStr {
    format_smolstr!("{NAMES_PREFIX}{host}")
}

/// Returns the value of a name about which the store says `record`.
pub(super) fn name_value(record: NameRecord) -> Bytes {
    match record {
        NameRecord::Recent => Bytes::from_static(RECENT_VALUE),
        NameRecord::Absent | NameRecord::Settled => Bytes::new(),
    }
}

fn parse_name(value: &[u8]) -> NameRecord {
    // A value of a later version counts as one that not every host knows.
    if value.is_empty() {
        NameRecord::Settled
    } else {
        NameRecord::Recent
    }
}

/// Applies the names of a listing of all keys that hosts write, which was requested at `sent_at`.
pub(super) fn apply_names<P: Platform>(
    shared: &Shared<P>,
    listing: &StoreListing,
    sent_at: Monotonic,
) {
    let items = listing.items.iter();
    let names = items.filter_map(|item| Some((item.key.strip_prefix(NAMES_PREFIX)?, item)));
    let own = &shared.settings.host;
    let mut own_record = NameRecord::Absent;
    let mut count = 0;
    let mut unlisted = Vec::new();
    for (host, item) in names {
        count += 1;
        if host == own {
            own_record = parse_name(&item.value);
        }
        if !lists_host(listing, host) {
            unlisted.push(HostId::from(host));
        }
    }
    let now = shared.now();
    apply_long_lived(shared, listing);
    if lists_host(listing, own) {
        shared.quotas.note_own_record(sent_at, now, own_record);
    }
    shared
        .host_names
        .unlisted
        .borrow_mut()
        .note_listing(now, unlisted);
    if count > 0 {
        let read_at = sent_at;
        let count = HostCount {
            hosts: count,
            read_at,
        };
        shared.quotas.note_count(now, count);
    }
}

fn lists_host(listing: &StoreListing, host: &str) -> bool {
    let key = format_smolstr!("{HOSTS_PREFIX}{host}");
    let found = listing.items.binary_search_by(|item| item.key.cmp(&key));
    found.is_ok()
}

fn apply_long_lived<P: Platform>(shared: &Shared<P>, listing: &StoreListing) {
    let mut items = listing.items.iter();
    let record = items.find(|item| item.key == LONG_LIVED_KEY);
    let record = record.map(|item| LongLivedRecord {
        processes: parse_processes(&item.value),
        revision: item.revision,
    });
    let record = record.unwrap_or_default();
    let earlier = shared.earlier_process.get().unwrap_or_default();
    if earlier > 0 && record.processes.get(&shared.settings.host) == Some(&earlier) {
        shared.quotas.note_long_earlier_process();
    }
    *shared.host_names.long_lived.borrow_mut() = record;
    let hosts = listing.items.iter().filter_map(|item| {
        let host = item.key.strip_prefix(HOSTS_PREFIX)?;
        let process = parse_member(&item.value, item.revision)?.process;
        Some((HostId::from(host), process))
    });
    let mut processes = shared.host_names.processes.borrow_mut();
    processes.note_listed(shared.now(), hosts);
}

fn format_processes(processes: &BTreeMap<HostId, Nonce>) -> Bytes {
    let mut text = String::new();
    for (host, process) in processes {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{host} {process:x}");
    }
    Bytes::from(text)
}

// Lines that are invalid are left out.
fn parse_processes(value: &[u8]) -> BTreeMap<HostId, Nonce> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let parse = |line: &str| {
        let (host, process) = line.split_once(' ')?;
        Some((HostId::from(host), Nonce::from_str_radix(process, 16).ok()?))
    };
    text.lines().filter_map(parse).collect()
}

/// Records this host's name, and removes those of hosts that are gone, until the future is dropped.
pub(super) async fn keep_names<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if !has_quotas(&shared) {
            continue;
        }
        if let Err(error) = update(&shared).await {
            debug!("failed to record or remove names of hosts: {error}");
        }
    }
}

async fn update<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    record_own(shared).await?;
    if !is_recorder(shared) {
        return Ok(());
    }
    record_long_lived(shared).await?;
    remove_gone(shared).await
}

// Returns whether this host records what concerns all: it reads the store for the first failure
// domain.
fn is_recorder<P: Platform>(shared: &Shared<P>) -> bool {
    let lead_state = shared.lead_state.borrow();
    let domains = lead_state.members.values().map(|member| &member.domain);
    let is_first_domain = domains.min() == Some(&shared.settings.domain);
    drop(lead_state);
    is_first_domain && shared.proof_source().is_none()
}

async fn record_long_lived<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let change = {
        let known = shared.host_names.long_lived.borrow();
        let mut processes = shared.host_names.processes.borrow_mut();
        let min_age = min_process_age(&shared.settings.quota_bound);
        let record = processes.record(shared.now(), min_age, &known.processes);
        let key = SmolStr::new_static(LONG_LIVED_KEY);
        record.map(|record| StoreChange {
            expected: vec![(key.clone(), known.revision)],
            writes: vec![(key, format_processes(&record), None)],
            ..StoreChange::default()
        })
    };
    let Some(change) = change else {
        return Ok(());
    };
    wait_for_turn(shared, CallKind::Write).await;
    let commit = shared.store.commit(&change);
    call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await?;
    Ok(())
}

async fn record_own<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let key = name_key(&shared.settings.host);
    let is_listed = || shared.lead_state.borrow().membership.is_some();
    if shared.quotas.needs_own_record() && is_listed() && shared.now() >= LOOKUP_DELAY {
        wait_for_turn(shared, CallKind::Read).await;
        let asked_at = shared.now();
        let read = shared.store.read(&key);
        let (item, _) =
            call_with_timeout(shared, StoreCall::Read, STORE_CALL_TIMEOUT, read).await?;
        let record = item.map_or(NameRecord::Absent, |item| parse_name(&item.value));
        if is_listed() {
            let now = shared.now();
            shared.quotas.note_own_record(asked_at, now, record);
        }
    }
    // A host that is not listed is not counted for long.
    let due = shared.quotas.own_record_to_write(shared.now());
    let Some(record) = due.filter(|_| is_listed()) else {
        return Ok(());
    };
    wait_for_turn(shared, CallKind::Write).await;
    let change = StoreChange {
        writes: vec![(key, name_value(record), None)],
        ..StoreChange::default()
    };
    let commit = shared.store.commit(&change);
    call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await?;
    shared.quotas.note_own_record_written(shared.now(), record);
    info!(record:? = record; "recorded this host's name");
    Ok(())
}

// Removes the names of hosts that have been off the list for long.
async fn remove_gone<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let removable: Vec<HostId> = {
        let unlisted = shared.host_names.unlisted.borrow();
        unlisted.removable().take(MAX_REMOVALS).cloned().collect()
    };
    if removable.is_empty() {
        return Ok(());
    }
    wait_for_turn(shared, CallKind::Write).await;
    let change = StoreChange {
        // A host that joins again keeps its name.
        expected: removable
            .iter()
            .map(|host| (format_smolstr!("{HOSTS_PREFIX}{host}"), 0))
            .collect(),
        removals: removable.iter().map(|host| name_key(host)).collect(),
        ..StoreChange::default()
    };
    let commit = shared.store.commit(&change);
    call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await?;
    info!(hosts = removable.join(" ").as_str(); "removed the names of hosts that are gone");
    Ok(())
}
