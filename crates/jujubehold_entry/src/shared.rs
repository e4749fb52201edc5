//! What all tasks of a host share. One thread runs them all, so nothing here is locked.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use jujubehold_core::lead_table::LeadTable;
use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::watch_pace::WatchProgress;
use jujubehold_settings::EntrySettings;
use log::info;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::control::StoreHealth;
use crate::decision_log::DecisionLog;
use crate::group::{Group, LeavingPrimary};
use crate::lead_state::LeadState;
use crate::phase::Phase;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{Configuration, Route};

/// How long what began at a primary that leaves by plan may go on: the change is waited for by
/// everybody else.
const LEAVING_LIMIT: Duration = Duration::from_millis(900);

/// How long entries of instances may take to come back after the store did, with some allowance.
const ENTRIES_RETURN: Duration = Duration::from_millis(2_600);

/// The state of one host.
#[derive(Debug)]
pub(crate) struct Shared<P: Platform> {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) store: P::Store,
    pub(crate) store_health: StoreHealth,
    /// Whether the watch tells what other answers of the store told of.
    pub(crate) watch_progress: RefCell<WatchProgress>,
    pub(crate) promotion: P::Promotion,
    pub(crate) log: DecisionLog,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    pub(crate) lead: RefCell<LeadState>,
    pub(crate) upstreams: RefCell<BTreeMap<InstanceId, Rc<Upstream<P>>>>,
    /// Since when the directory has been followed; `None` before it was first listed.
    pub(crate) directory_since: Cell<Option<Monotonic>>,
    /// Instances whose entry was removed, and when that was seen.
    pub(crate) missing: RefCell<BTreeMap<InstanceId, Monotonic>>,
    pub(crate) groups: RefCell<BTreeMap<ServiceId, Group>>,
    /// Wakes whatever waits for a primary or a proof.
    pub(crate) changed: Notify,
    /// Wakes what follows this host's place in the list of hosts.
    pub(crate) membership_changed: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) session_count: Cell<usize>,
}

impl<P: Platform> Shared<P> {
    pub(crate) fn new(settings: EntrySettings, store: P::Store, promotion: P::Promotion) -> Self {
        Self {
            log: DecisionLog::new(settings.log_lines_per_second),
            lead: RefCell::new(LeadState::new(settings.is_first_start)),
            settings,
            clock: Clock::start(),
            store,
            store_health: StoreHealth::default(),
            watch_progress: RefCell::new(WatchProgress::default()),
            promotion,
            configuration: RefCell::new(None),
            upstreams: RefCell::new(BTreeMap::new()),
            directory_since: Cell::new(None),
            missing: RefCell::new(BTreeMap::new()),
            groups: RefCell::new(BTreeMap::new()),
            changed: Notify::new(),
            membership_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            session_count: Cell::new(0),
        }
    }

    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// The host that this one asks for a proof; `None` when it reads the store itself.
    pub(crate) fn proof_source(&self) -> Option<HostId> {
        let lead = self.lead.borrow();
        lead.proof_source(self.now(), &self.settings.host, &self.settings.domain)
    }

    /// The route of `database` in the configuration in force.
    pub(crate) fn route(&self, database: &str) -> Option<Route> {
        let configuration = self.configuration.borrow();
        configuration.as_ref()?.routes.get(database).cloned()
    }

    /// The instance called `id`, if it is listed.
    pub(crate) fn upstream(&self, id: &str) -> Option<Rc<Upstream<P>>> {
        self.upstreams.borrow().get(id).cloned()
    }

    /// Whether an instance that is not listed is gone: entries that lapsed while the store was away
    /// come back within two seconds, and a host that has just started may have listed before that.
    pub(crate) fn knows_directory(&self) -> bool {
        let now = self.now();
        let followed_since = self.directory_since.get();
        let is_followed =
            followed_since.is_some_and(|since| now.saturating_sub(since) > ENTRIES_RETURN);
        is_followed
            && !self
                .store_health
                .was_unavailable_within(now, ENTRIES_RETURN)
    }

    /// Every listed instance of `service`.
    pub(crate) fn upstreams_of(&self, service: &str) -> Vec<Rc<Upstream<P>>> {
        let upstreams = self.upstreams.borrow();
        let of_service = upstreams
            .values()
            .filter(|upstream| upstream.is_of(service));
        of_service.cloned().collect()
    }

    /// The instance that may take new work as the primary of `service` now.
    pub(crate) fn usable_primary(&self, service: &str) -> Option<Rc<Upstream<P>>> {
        let lead = self.lead.borrow();
        if !lead.is_proved(service, self.now()) {
            return None;
        }
        self.upstream(lead.table.usable_primary(service)?)
    }

    /// Whether what `instance` answered as the primary of `service` may be told to a caller now.
    pub(crate) fn may_acknowledge(&self, service: &str, instance: &str) -> bool {
        let now = self.now();
        let lead = self.lead.borrow();
        if lead
            .table
            .usable_primary(service)
            .is_some_and(|id| id == instance)
        {
            return lead.is_proved(service, now);
        }
        let groups = self.groups.borrow();
        let leaving = groups.get(service).and_then(|group| group.leaving.as_ref());
        leaving.is_some_and(|leaving| leaving.instance == instance && now < leaving.until)
    }

    /// Whether `instance` may still turn out to have been the primary when it answered.
    pub(crate) fn may_be_proved(&self, service: &str, instance: &str) -> bool {
        let lead = self.lead.borrow();
        lead.table
            .usable_primary(service)
            .is_some_and(|id| id == instance)
    }

    /// Does something with the group of `service`.
    pub(crate) fn with_group<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut Group) -> T,
    ) -> T {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(service) {
            groups.insert(service.clone(), Group::new(service));
        }
        act(groups.get_mut(service).expect("the group was just added"))
    }

    /// Notes the position that an instance stated when it was asked at `sent_at`.
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

    /// Takes in a table of leads that the store or another host gave.
    pub(crate) fn adopt_table(&self, table: LeadTable) {
        let now = self.now();
        let old = self.lead.borrow().table.clone();
        if !self.lead.borrow_mut().table.adopt(table) {
            return;
        }
        let new = self.lead.borrow().table.clone();
        for (service, lead) in &new.leads {
            let before = old.leads.get(service);
            if before == Some(lead) {
                continue;
            }
            let proved_until = self.lead.borrow().proved_until(service);
            let by = lead.change.as_ref().map(|change| change.by.as_str());
            info!(service = service.as_str(), primary = lead.primary.as_str(),
                change_by = by.unwrap_or("nobody"), revision = new.revision,
                proved_until_ms = millis(proved_until), now_ms = millis(now);
                "lead changed");
            self.with_group(service, |group| {
                let is_planned = lead.change.as_ref().is_some_and(|change| change.is_planned);
                let was_usable = before.is_some_and(|before| before.change.is_none());
                group.leaving = (is_planned && was_usable).then(|| LeavingPrimary {
                    instance: lead.primary.clone(),
                    until: proved_until.min(now + LEAVING_LIMIT),
                });
                if before.is_none_or(|before| before.primary != lead.primary) {
                    group.primary_positions = PrimaryPositions::default();
                }
            });
        }
        self.changed.notify_waiters();
    }

    /// Waits until something changed that a request may wait for, or until `limit` is over.
    pub(crate) async fn wait_for_change(&self, limit: Duration) {
        // A change that comes between a look and this wait is seen at the next look.
        const LOOK_INTERVAL: Duration = Duration::from_millis(40);
        let notified = self.changed.notified();
        // Whether it was woken or the time is over, the caller looks again.
        let _ = tokio::time::timeout(limit.min(LOOK_INTERVAL), notified).await;
    }
}

/// A time in whole milliseconds, for logs.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
