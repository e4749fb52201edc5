//! Applies changes of the store's items to the instances and hosts that this host knows.

use std::collections::BTreeMap;

use jujubehold_core::store_version::Revision;
use log::{debug, info, warn};

use super::member_document::parse_member;
use super::table_access::adopt_item;
use super::{HOSTS_PREFIX, LEAD_KEY};
use crate::lead_state::LeadState;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{Customers, Directory, InstanceEntry, StoreItem, StoreListing};
use crate::shared::millis;

/// How long to wait, once the store is available again, for instance entries that expired during
/// the outage to be written again.
const REMOVAL_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// The connection limit of an instance until its service's limit is known.
const INITIAL_CONNECTION_LIMIT: usize = 4;

/// Where a change of the store's items comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeOrigin<'a> {
    /// A listing of all items.
    Listing,
    /// A watch of this host.
    Watch,
    /// Another host, which handed it on.
    Host(&'a HostId),
}

impl ChangeOrigin<'_> {
    // Returns the name used in logs.
    fn as_str(&self) -> &str {
        match self {
            Self::Listing => "listing",
            Self::Watch => "watch",
            Self::Host(host) => host,
        }
    }
}

/// Applies one item of the store.
pub(super) fn apply_item<P: Platform>(
    shared: &Shared<P>,
    item: &StoreItem,
    origin: ChangeOrigin<'_>,
) {
    let key = item.key.as_str();
    if note_directory_change(shared, key, item.revision) {
        let mut log = shared.directory_log.borrow_mut();
        log.note_written(&item.key, item.revision, &item.value);
    }
    if key == P::Directory::CONFIGURATION_KEY {
        apply_configuration(shared, item, origin);
    } else if key.starts_with(P::Directory::INSTANCES_PREFIX) {
        match P::Directory::instance(key, &item.value) {
            Some(entry) => apply_instance(shared, entry),
            None => warn!(key, revision = item.revision; "ignoring an invalid instance entry"),
        }
    } else if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
        apply_member(shared, host, &item.value, item.revision);
    } else if key == LEAD_KEY && !adopt_item(shared, item) {
        debug!("ignoring the table of leads of revision {}", item.revision);
    }
}

/// Applies the removal of an item at the store's `revision`.
pub(crate) fn apply_removal<P: Platform>(shared: &Shared<P>, key: &str, revision: Revision) {
    if note_directory_change(shared, key, revision) {
        let mut log = shared.directory_log.borrow_mut();
        log.note_removed(&key.into(), revision);
    }
    if let Some(id) = key.strip_prefix(P::Directory::INSTANCES_PREFIX) {
        shared
            .missing_instances
            .borrow_mut()
            .entry(id.into())
            .or_insert_with(|| shared.now());
        remove_missing_instances(shared);
    } else if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
        remove_member(shared, host, revision);
    }
}

/// Returns whether `key` is that of an item of the directory: the configuration or an instance.
pub(super) fn is_directory_key<P: Platform>(key: &str) -> bool {
    key == P::Directory::CONFIGURATION_KEY || key.starts_with(P::Directory::INSTANCES_PREFIX)
}

// Returns whether the change is one of the directory.
fn note_directory_change<P: Platform>(shared: &Shared<P>, key: &str, revision: Revision) -> bool {
    let is_directory = is_directory_key::<P>(key);
    if is_directory {
        shared
            .directory_progress
            .borrow_mut()
            .note_changed(revision);
    }
    is_directory
}

fn remove_member<P: Platform>(shared: &Shared<P>, host: &str, revision: Revision) {
    let mut lead_state = shared.lead_state.borrow_mut();
    // Ignore an answer that is older than the known list.
    if revision < lead_state.members_revision
        || !lead_state.remove_member(host, revision, shared.now())
    {
        return;
    }
    if shared.log.allows(shared.now()) {
        info!(host, revision; "host removed from the list");
    }
    if host == shared.settings.host {
        discard_membership(shared, &mut lead_state);
    }
}

/// Makes this host join the list again. Its proof of the leads stays valid, because a host that
/// replaces a primary waits for every host that was listed within a proof window.
pub(crate) fn discard_membership<P: Platform>(shared: &Shared<P>, lead_state: &mut LeadState) {
    if lead_state.membership.take().is_some() {
        warn!("this host is no longer in the list of hosts; joining again");
        shared.membership_changed.notify_waiters();
    }
}

/// Applies the hosts of a listing of all keys that hosts write. Returns whether the listing is no
/// older than the known one and contains this host's own entry.
pub(crate) fn apply_member_listing<P: Platform>(
    shared: &Shared<P>,
    listing: &StoreListing,
    sent_at: Monotonic,
) -> bool {
    let mut members = BTreeMap::new();
    let mut own_revision = None;
    for item in &listing.items {
        let Some(host) = item.key.strip_prefix(HOSTS_PREFIX) else {
            continue;
        };
        if let Some(member) = parse_member(&item.value, item.revision) {
            members.insert(HostId::from(host), member);
        }
        if host == shared.settings.host {
            own_revision = Some(item.revision);
        }
    }
    let mut lead_state = shared.lead_state.borrow_mut();
    if !lead_state.set_members(members, listing.revision, sent_at, shared.now()) {
        return false;
    }
    let own_key_revision = lead_state.membership.as_ref().map(|own| own.key_revision);
    if own_key_revision.is_none() {
        return false;
    }
    if own_revision == own_key_revision {
        return true;
    }
    if lead_state.is_list_newer_than_own_entry() {
        discard_membership(shared, &mut lead_state);
    }
    false
}

/// Removes the instances whose entries are still missing. During and shortly after a store outage
/// nothing is removed, so that entries that expired in the meantime can return.
pub(crate) fn remove_missing_instances<P: Platform>(shared: &Shared<P>) {
    let now = shared.now();
    if shared
        .store_health
        .was_unavailable_within(now, REMOVAL_GRACE_PERIOD)
    {
        return;
    }
    let missing = std::mem::take(&mut *shared.missing_instances.borrow_mut());
    for id in missing.into_keys() {
        let Some(upstream) = shared.upstreams.borrow_mut().remove(&id) else {
            continue;
        };
        upstream.close_idle();
        info!(instance = id.as_str(); "instance removed");
        shared.note_removed_upstream(upstream);
    }
    shared.changed.notify_waiters();
}

/// Returns the keys of the known instances, for comparison with a full listing.
pub(crate) fn listed_instance_keys<P: Platform>(shared: &Shared<P>) -> Vec<String> {
    let upstreams = shared.upstreams.borrow();
    upstreams
        .keys()
        .map(|id| format!("{}{id}", P::Directory::INSTANCES_PREFIX))
        .collect()
}

fn apply_configuration<P: Platform>(
    shared: &Shared<P>,
    item: &StoreItem,
    origin: ChangeOrigin<'_>,
) {
    let configuration = match P::Directory::configuration(&item.value) {
        Ok(configuration) => configuration,
        Err(error) => {
            warn!(error:% = error; "ignoring an invalid configuration");
            return;
        }
    };
    let current = shared
        .configuration
        .borrow()
        .as_ref()
        .map_or(0, |current| current.version);
    // Never go back to an older version, even if a late answer contains one.
    if configuration.version <= current {
        return;
    }
    let customers = configuration.customers.as_ref().map_or(0, Customers::len);
    info!(version = configuration.version, databases = configuration.routes.len(), customers,
        revision = item.revision, from = origin.as_str(),
        directory_age_ms = millis(shared.directory_age()), now_ms = millis(shared.now());
        "configuration applied");
    shared.configuration_applied_at.set(shared.now());
    shared
        .configuration_version
        .send_replace(configuration.version);
    *shared.configuration.borrow_mut() = Some(Rc::new(configuration));
    shared.changed.notify_waiters();
}

fn apply_instance<P: Platform>(shared: &Shared<P>, entry: InstanceEntry) {
    shared.missing_instances.borrow_mut().remove(&entry.id);
    shared.removed_upstreams.borrow_mut().remove(&entry.id);
    let known = shared.upstream(&entry.id);
    let is_same = known.as_ref().is_some_and(|upstream| {
        let old = upstream.entry();
        old.address == entry.address && old.born_ms == entry.born_ms
    });
    info!(instance = entry.id.as_str(), service = entry.service.as_str(),
        lifecycle:? = entry.lifecycle, role:? = entry.role, born_ms = entry.born_ms;
        "instance listed");
    if let (Some(upstream), true) = (&known, is_same) {
        upstream.set_entry(entry);
    } else {
        if let Some(old) = known {
            old.close_idle();
        }
        let id = entry.id.clone();
        let host = shared.settings.host.clone();
        let upstream = Upstream::new(shared.clock, host, entry, INITIAL_CONNECTION_LIMIT);
        shared.upstreams.borrow_mut().insert(id, Rc::new(upstream));
    }
    shared.changed.notify_waiters();
}

fn apply_member<P: Platform>(shared: &Shared<P>, host: &str, value: &[u8], revision: Revision) {
    let Some(member) = parse_member(value, revision) else {
        warn!(host; "ignoring an invalid host entry");
        return;
    };
    let now = shared.now();
    let mut lead_state = shared.lead_state.borrow_mut();
    // A host that a newer list no longer contains was listed at this time and may still rely on its
    // proof, so whoever replaces a primary has to wait for it.
    lead_state.note_listed(&host.into(), &member, now);
    if revision < lead_state.members_revision {
        return;
    }
    let peer_address = member.peer_address;
    if lead_state.set_member(host.into(), member, now) && shared.log.allows(now) {
        info!(host, peer:? = peer_address; "host added to the list");
    }
    // Another process wrote a key under this host's name.
    let is_lost = host == shared.settings.host
        && lead_state
            .membership
            .as_ref()
            .is_some_and(|membership| membership.key_revision < revision);
    if is_lost {
        discard_membership(shared, &mut lead_state);
    }
}
