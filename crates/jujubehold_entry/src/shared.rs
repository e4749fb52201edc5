//! The state that all tasks of a host share. One thread runs all tasks, so there are no locks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jujubehold_core::directory_log::DirectoryLog;
use jujubehold_core::directory_progress::{DirectoryProgress, StoreRead};
use jujubehold_core::directory_sources::DirectorySources;
use jujubehold_core::lead_table::LeadTable;
use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::watch_pace::WatchProgress;
use jujubehold_settings::EntrySettings;
use log::{info, warn};
use tokio::sync::{Notify, watch};

use crate::callers::{HostBytes, host_bytes};
use crate::clock::Clock;
use crate::control::{HostNames, Quotas, StoreHealth};
use crate::decision_log::DecisionLog;
use crate::group::{Group, LeavingPrimary};
use crate::lead_state::LeadState;
use crate::peer_link::{PeerLinks, ServerLinks};
use crate::phase::Phase;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{Configuration, Route, Store};

/// How long statements and transactions that began before a planned change of primary may still use
/// the old primary. The time is limited because all other requests wait for the change.
const LEAVING_PRIMARY_GRACE: Duration = Duration::from_millis(900);

/// For how long an instance is remembered whose entry is gone. One that is cut off from the store may
/// be running and confirm commits.
const REMOVED_INSTANCE_WINDOW: Duration = Duration::from_secs(20);

/// How long the entries of instances may take to return after a store outage, with some margin.
const ENTRY_RECOVERY_TIME: Duration = Duration::from_millis(2_600);

/// The state of a host.
#[derive(Debug)]
pub(crate) struct Shared<P: Platform> {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) store: P::Store,
    pub(crate) store_health: StoreHealth,
    /// Whether the watch delivers the changes that other answers of the store have shown.
    pub(crate) watch_progress: RefCell<WatchProgress>,
    /// How far this host knows the changes of the directory.
    pub(crate) directory_progress: RefCell<DirectoryProgress>,
    /// The changes of the directory, for the hosts that follow this one.
    pub(crate) directory_log: RefCell<DirectoryLog<Bytes>>,
    pub(crate) promotion: P::Promotion,
    pub(crate) log: Rc<DecisionLog>,
    /// The links that this host opened to owners of connections.
    pub(crate) peer_links: Rc<PeerLinks>,
    /// The links that other hosts opened to this one.
    pub(crate) server_links: ServerLinks,
    /// The number of other hosts' leases that this host runs.
    pub(crate) served_leases: Cell<usize>,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    /// The version of the configuration; wakes the sessions that check their keys.
    pub(crate) configuration_version: watch::Sender<u64>,
    /// When this host applied the configuration.
    pub(crate) configuration_applied_at: Cell<Monotonic>,
    pub(crate) lead_state: RefCell<LeadState>,
    pub(crate) upstreams: RefCell<BTreeMap<InstanceId, Rc<Upstream<P>>>>,
    /// Since when this host has followed the directory; `None` before it was first listed.
    pub(crate) directory_followed_since: Cell<Option<Monotonic>>,
    /// The instances that were removed from the list lately. They may be running.
    pub(crate) removed_upstreams: RefCell<BTreeMap<InstanceId, RemovedUpstream<P>>>,
    /// The instances whose entries were removed, and when this host learned of it.
    pub(crate) missing_instances: RefCell<BTreeMap<InstanceId, Monotonic>>,
    pub(crate) groups: RefCell<BTreeMap<ServiceId, Group>>,
    /// Wakes the tasks that wait for a configuration, a primary, a position or a proof.
    pub(crate) changed: Notify,
    /// Wakes the task that maintains this host's entry in the list of hosts.
    pub(crate) membership_changed: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) session_count: Cell<usize>,
    /// The bytes that this host keeps for its sessions.
    pub(crate) session_bytes: HostBytes,
    /// Whether this host has tried to enter the list of hosts.
    pub(crate) has_tried_to_join: Cell<bool>,
    /// The tokens of the customers.
    pub(crate) quotas: Quotas,
    /// A number that distinguishes this process from every other one.
    pub(crate) process: Nonce,
    /// The process whose entry this one replaced when it was listed for the first time; 0 if there
    /// was none or its entry does not say.
    pub(crate) earlier_process: Cell<Option<Nonce>>,
    /// The recorded names of the hosts.
    pub(crate) host_names: HostNames,
}

/// An instance that was removed from the list.
#[derive(Debug)]
pub(crate) struct RemovedUpstream<P: Platform> {
    upstream: Rc<Upstream<P>>,
    removed_at: Monotonic,
}

impl<P: Platform> Shared<P> {
    pub(crate) fn new(settings: EntrySettings, store: P::Store, promotion: P::Promotion) -> Self {
        let clock = Clock::start();
        let process = rand::random();
        let log = Rc::new(DecisionLog::new(settings.log_lines_per_second));
        Self {
            peer_links: Rc::new(PeerLinks::new(clock, Rc::clone(&log))),
            server_links: ServerLinks::default(),
            served_leases: Cell::new(0),
            log,
            lead_state: RefCell::new(LeadState::new(settings.is_first_start)),
            quotas: Quotas::new(&settings, process),
            process,
            earlier_process: Cell::new(None),
            host_names: HostNames::default(),
            settings,
            clock,
            store,
            store_health: StoreHealth::default(),
            watch_progress: RefCell::new(WatchProgress::default()),
            directory_progress: RefCell::new(DirectoryProgress::default()),
            directory_log: RefCell::default(),
            promotion,
            configuration: RefCell::new(None),
            configuration_version: watch::Sender::new(0),
            configuration_applied_at: Cell::new(Monotonic::ZERO),
            upstreams: RefCell::new(BTreeMap::new()),
            directory_followed_since: Cell::new(None),
            removed_upstreams: RefCell::new(BTreeMap::new()),
            missing_instances: RefCell::new(BTreeMap::new()),
            groups: RefCell::new(BTreeMap::new()),
            changed: Notify::new(),
            membership_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            session_count: Cell::new(0),
            session_bytes: host_bytes(),
            has_tried_to_join: Cell::new(false),
        }
    }

    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Returns the host that this one asks for a proof, or `None` if it reads the store itself.
    pub(crate) fn proof_source(&self) -> Option<HostId> {
        let lead_state = self.lead_state.borrow();
        lead_state.proof_source(self.now(), &self.settings.host, &self.settings.domain)
    }

    /// Returns the host that this one asks next to confirm its copy of the directory, if there is one.
    pub(crate) fn directory_source(&self, sources: &DirectorySources) -> Option<HostId> {
        let lead_state = self.lead_state.borrow();
        let hosts = lead_state.members.iter();
        let domains = hosts.map(|(host, member)| (host, &member.domain));
        let (host, domain) = (&self.settings.host, &self.settings.domain);
        sources.next(self.now(), host, domain, domains)
    }

    /// Returns whether this host watches the primaries.
    pub(crate) fn is_watcher(&self) -> bool {
        let watchers = self.lead_state.borrow().primary_watchers();
        watchers.contains(&self.settings.host)
    }

    /// Records a read of the store, by this host or another one. Revisions of different eras are not
    /// compared.
    pub(crate) fn note_store_read(&self, read: &StoreRead) {
        let mut progress = self.directory_progress.borrow_mut();
        progress.note_read(read);
        if read.era == progress.era() {
            let mut watch_progress = self.watch_progress.borrow_mut();
            watch_progress.note_store_revision(self.now(), read.revision);
        }
    }

    /// Records the era that the store states. In a later one the store was restored from a copy.
    pub(crate) fn note_store_era(&self) {
        let (era, now) = (self.store.era(), self.now());
        let mut lead_state = self.lead_state.borrow_mut();
        let before = lead_state.era;
        let has_lost_entry = lead_state.note_era(era, now);
        if lead_state.era == before || before == 0 {
            return;
        }
        warn!(era, has_lost_entry, now_ms = millis(now); "the store was restored from a copy");
        drop(lead_state);
        // Entries of instances that are newer than the copy are written again.
        self.store_health.note_restored(now);
        self.membership_changed.notify_waiters();
    }

    /// Returns whether the store was restored from a copy after this host listed the directory, so
    /// that the revisions that this host knows are those of a lost history.
    pub(crate) fn is_store_restored(&self) -> bool {
        self.store.era() != self.directory_progress.borrow().era()
    }

    /// Returns how long ago the store certainly had no change of the directory that this host lacks.
    pub(crate) fn directory_age(&self) -> Duration {
        let confirmed_at = self.directory_progress.borrow().confirmed_at();
        self.now().saturating_sub(confirmed_at)
    }

    /// Returns the route of `database` in the current configuration.
    pub(crate) fn route(&self, database: &str) -> Option<Route> {
        let configuration = self.configuration.borrow();
        configuration.as_ref()?.routes.get(database).cloned()
    }

    /// Returns the instance called `id` if it is listed.
    pub(crate) fn upstream(&self, id: &str) -> Option<Rc<Upstream<P>>> {
        self.upstreams.borrow().get(id).cloned()
    }

    /// Returns whether an instance that is not listed is certainly gone. Entries that expired
    /// during a store outage return within two seconds, and a host that has just started may have
    /// listed the directory before that.
    pub(crate) fn is_directory_complete(&self) -> bool {
        let now = self.now();
        self.has_followed_directory()
            && !self
                .store_health
                .was_unavailable_within(now, ENTRY_RECOVERY_TIME)
    }

    /// Returns whether this host has followed the directory for long enough to have seen the entries
    /// that were missing when it started.
    pub(crate) fn has_followed_directory(&self) -> bool {
        let followed_since = self.directory_followed_since.get();
        followed_since.is_some_and(|since| self.now().saturating_sub(since) > ENTRY_RECOVERY_TIME)
    }

    /// Returns all listed instances of `service`.
    pub(crate) fn upstreams_of(&self, service: &str) -> Vec<Rc<Upstream<P>>> {
        let upstreams = self.upstreams.borrow();
        let of_service = upstreams
            .values()
            .filter(|upstream| upstream.belongs_to(service));
        of_service.cloned().collect()
    }

    /// Returns the instances of `service` that were removed from the list within the last
    /// [`REMOVED_INSTANCE_WINDOW`] and have not been listed again.
    pub(crate) fn removed_upstreams_of(&self, service: &str) -> Vec<Rc<Upstream<P>>> {
        let since = self.now().saturating_sub(REMOVED_INSTANCE_WINDOW);
        let removed = self.removed_upstreams.borrow();
        removed
            .values()
            .filter(|removed| removed.removed_at >= since)
            .map(|removed| Rc::clone(&removed.upstream))
            .filter(|upstream| upstream.belongs_to(service))
            .collect()
    }

    /// Records that an instance was removed from the list.
    pub(crate) fn note_removed_upstream(&self, upstream: Rc<Upstream<P>>) {
        let now = self.now();
        let mut removed = self.removed_upstreams.borrow_mut();
        removed
            .retain(|_, removed| now.saturating_sub(removed.removed_at) < REMOVED_INSTANCE_WINDOW);
        let removed_at = now;
        removed.insert(
            upstream.id(),
            RemovedUpstream {
                upstream,
                removed_at,
            },
        );
    }

    /// Returns the owners at which this host runs statements of `customer` on `upstream`, in the
    /// order in which they are tried; none if it uses its own connections.
    pub(crate) fn owners_for(
        &self,
        upstream: &Upstream<P>,
        customer: Option<&CustomerId>,
    ) -> Vec<(HostId, SocketAddr)> {
        let host = &self.settings.host;
        let owners = upstream.owners().filter(|owners| !owners.is_owner(host));
        let Some(owners) = owners else {
            return Vec::new();
        };
        let lead_state = self.lead_state.borrow();
        let address = |owner: &HostId| {
            let member = lead_state.members.get(owner)?;
            Some((owner.clone(), member.peer_address))
        };
        let key = customer.unwrap_or(host);
        owners.order(key).filter_map(address).collect()
    }

    /// Returns the instance that may receive new work as the primary of `service` now, for a request
    /// of a caller.
    pub(crate) fn usable_primary(&self, service: &ServiceId) -> Option<Rc<Upstream<P>>> {
        let now = self.now();
        self.with_group(service, |group| group.primary_wanted_at = Some(now));
        let lead_state = self.lead_state.borrow();
        if !lead_state.is_proved(service, now) {
            return None;
        }
        self.upstream(lead_state.table.usable_primary(service)?)
    }

    /// Returns whether an answer of `instance` as the primary of `service` may be passed on to a
    /// caller now.
    pub(crate) fn may_acknowledge(&self, service: &str, instance: &str) -> bool {
        let now = self.now();
        let lead_state = self.lead_state.borrow();
        if lead_state
            .table
            .usable_primary(service)
            .is_some_and(|id| id == instance)
        {
            return lead_state.is_proved(service, now);
        }
        let groups = self.groups.borrow();
        let leaving = groups
            .get(service)
            .and_then(|group| group.leaving_primary.as_ref());
        leaving.is_some_and(|leaving| leaving.instance == instance && now < leaving.until)
    }

    /// Returns whether the primary of `service` can't be replaced until an instance answers that does
    /// not.
    pub(crate) fn awaits_instance(&self, service: &str) -> bool {
        let lead_state = self.lead_state.borrow();
        let lead = lead_state.table.leads.get(service);
        let change = lead.and_then(|lead| lead.change.as_ref());
        change.is_some_and(|change| change.awaits_instance)
    }

    /// Returns whether a later proof may still show that `instance` was the primary when it
    /// answered.
    pub(crate) fn may_be_confirmed(&self, service: &str, instance: &str) -> bool {
        let lead_state = self.lead_state.borrow();
        lead_state
            .table
            .usable_primary(service)
            .is_some_and(|id| id == instance)
    }

    /// Calls `action` with the group of `service`, which is created if necessary.
    pub(crate) fn with_group<T>(
        &self,
        service: &ServiceId,
        action: impl FnOnce(&mut Group) -> T,
    ) -> T {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(service) {
            groups.insert(service.clone(), Group::new(service));
        }
        action(groups.get_mut(service).expect("the group was just added"))
    }

    /// Records the position that an instance reported to a request sent at `sent_at`, if it is the
    /// primary.
    pub(crate) fn note_position(
        &self,
        service: &ServiceId,
        instance: &str,
        sent_at: Monotonic,
        position: Option<LogPosition>,
    ) {
        let Some(position) = position else {
            return;
        };
        if self.may_acknowledge(service, instance) {
            self.with_group(service, |group| {
                group
                    .primary_positions
                    .add(position.term, sent_at, position.position);
            });
        }
    }

    /// Adopts a table of leads from the store or another host if it is newer.
    pub(crate) fn adopt_table(&self, table: LeadTable) {
        let now = self.now();
        let old = self.lead_state.borrow().table.clone();
        if !self.lead_state.borrow_mut().table.adopt(table) {
            return;
        }
        let new = self.lead_state.borrow().table.clone();
        for (service, lead) in &new.leads {
            let before = old.leads.get(service);
            if before == Some(lead) {
                continue;
            }
            let proved_until = self.lead_state.borrow().proved_until(service);
            let by = lead.change.as_ref().map(|change| change.by.as_str());
            info!(service = service.as_str(), primary = lead.primary.as_str(),
                change_by = by.unwrap_or("nobody"), era = new.era, revision = new.revision,
                proved_until_ms = millis(proved_until), now_ms = millis(now);
                "lead changed");
            self.with_group(service, |group| {
                let is_planned = lead.change.as_ref().is_some_and(|change| change.is_planned);
                let was_usable = before.is_some_and(|before| before.change.is_none());
                group.leaving_primary = (is_planned && was_usable).then(|| LeavingPrimary {
                    instance: lead.primary.clone(),
                    until: proved_until.min(now + LEAVING_PRIMARY_GRACE),
                });
                if before.is_none_or(|before| before.primary != lead.primary) {
                    group.primary_positions = PrimaryPositions::default();
                    group.primary_since = now;
                }
            });
        }
        self.changed.notify_waiters();
    }

    /// Waits until the host no longer runs requests because it shuts down.
    pub(crate) async fn wait_for_last_answers(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the host, so the watch can't fail.
        let _ = phase
            .wait_for(|phase| *phase >= Phase::AnsweringRequests)
            .await;
    }

    /// Waits until something changes that a request may wait for, for at most `limit` and at most
    /// one recheck interval.
    pub(crate) async fn wait_for_change(&self, limit: Duration) {
        // Bounds the delay until a change is noticed that happens between a check and this wait.
        const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
        let notified = self.changed.notified();
        // The caller checks again in either case, so the result does not matter.
        let _ = tokio::time::timeout(limit.min(RECHECK_INTERVAL), notified).await;
    }
}

/// Converts a duration to whole microseconds, for datagrams.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole milliseconds, for logs and callers' messages.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
