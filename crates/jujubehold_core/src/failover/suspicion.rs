//! Who can't reach the primary, and who can.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::failover::settings::FailoverSettings;
use crate::ids::{DomainId, HostId, Monotonic, Term};
use crate::ownership::Watcher;
use crate::service_config::ServiceConfig;
use crate::value_type;

value_type! {
    /// What this host and the group's other watchers say of the primary.
    #[derive(Default)]
    pub(super) struct SuspicionTable {
        // The last proof of life, or when the count began anew.
        last_alive: Monotonic,
        proved_alive_at: Option<Monotonic>,
        failures: u32,
        suspects: BTreeMap<HostId, Report>,
        vouchers: BTreeMap<HostId, Report>,
        quorum_since: Option<Monotonic>,
    }

    struct Report {
        domain: DomainId,
        term: Term,
        heard_at: Monotonic,
    }
}

impl Report {
    fn new(heard_at: Monotonic, domain: DomainId, term: Term) -> Self {
        Self {
            domain,
            term,
            heard_at,
        }
    }
}

impl SuspicionTable {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            last_alive: now,
            ..Self::default()
        }
    }

    pub(super) fn last_alive(&self) -> Monotonic {
        self.last_alive
    }

    /// Whether a probe failed since the last proof of life.
    pub(super) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Whether the primary gave proof of life at or after `since`.
    pub(super) fn has_proof_since(&self, since: Monotonic) -> bool {
        self.proved_alive_at.is_some_and(|at| at >= since)
    }

    /// Starts to count anew, as after a change of primary or after this host was paused.
    pub(super) fn reset(&mut self, now: Monotonic) {
        *self = Self::new(now);
    }

    pub(super) fn prove_alive(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_alive {
            self.proved_alive_at = Some(sent_at);
            self.note_life(sent_at);
        }
    }

    /// Notes a sign of life that says nothing of the instance's role.
    pub(super) fn note_life(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_alive {
            self.last_alive = sent_at;
            self.failures = 0;
            self.quorum_since = None;
        }
    }

    pub(super) fn count_failure(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_alive {
            self.failures = self.failures.saturating_add(1);
        }
    }

    pub(super) fn hear_suspicion(
        &mut self,
        now: Monotonic,
        host: HostId,
        domain: DomainId,
        term: Term,
    ) {
        self.vouchers.remove(&host);
        self.suspects.insert(host, Report::new(now, domain, term));
    }

    pub(super) fn hear_liveness(
        &mut self,
        now: Monotonic,
        host: HostId,
        domain: DomainId,
        term: Term,
    ) {
        self.suspects.remove(&host);
        self.vouchers.insert(host, Report::new(now, domain, term));
    }

    /// Whether this host itself suspects the primary.
    pub(super) fn is_suspected(&self, settings: &FailoverSettings, now: Monotonic) -> bool {
        self.failures >= settings.suspect_failures
            && now.saturating_sub(self.last_alive) >= settings.suspect_after
    }

    /// Forgets what is too old to count.
    pub(super) fn expire(&mut self, now: Monotonic, lifetime: Duration) {
        let is_fresh = |report: &Report| now.saturating_sub(report.heard_at) <= lifetime;
        self.suspects.retain(|_, report| is_fresh(report));
        self.vouchers.retain(|_, report| is_fresh(report));
    }

    /// When enough hosts of enough failure domains came to suspect the primary of `term`.
    ///
    /// This host counts as one of them; it must suspect the primary itself.
    pub(super) fn quorum_since(
        &mut self,
        now: Monotonic,
        settings: &FailoverSettings,
        judge: &QuorumRule<'_>,
        term: Term,
    ) -> Option<Monotonic> {
        let reports: BTreeMap<_, _> = self
            .suspects
            .iter()
            .filter(|(host, report)| report.term == term && judge.counts(host))
            .map(|(host, report)| (host, &report.domain))
            .chain([(judge.own_host, judge.own_domain)])
            .collect();
        let domains: BTreeSet<_> = reports.values().collect();
        let is_quorum =
            reports.len() >= judge.hosts_needed() && domains.len() >= judge.domains_needed();
        let is_met = is_quorum || self.may_act_alone(now, settings, judge, term, reports.len());
        if !is_met {
            self.quorum_since = None;
        }
        is_met.then(|| *self.quorum_since.get_or_insert(now))
    }

    /// The hosts that suspect the primary of `term`, this host left out.
    pub(super) fn suspecting(&self, term: Term) -> impl Iterator<Item = &HostId> {
        self.suspects
            .iter()
            .filter(move |(_, report)| report.term == term)
            .map(|(host, _)| host)
    }

    // With only one failure domain to be heard, its hosts act after a longer wait, all that can
    // be heard agreeing and none reaching the primary.
    fn may_act_alone(
        &self,
        now: Monotonic,
        settings: &FailoverSettings,
        judge: &QuorumRule<'_>,
        term: Term,
        suspecting_count: usize,
    ) -> bool {
        let is_long_gone = now.saturating_sub(self.last_alive) >= settings.lone_after;
        let is_vouched_for = self.vouchers.values().any(|report| report.term >= term);
        let is_elsewhere_heard = self
            .suspects
            .values()
            .any(|report| report.domain != *judge.own_domain);
        let own_needed = judge.own_domain_watchers().min(2);
        judge.reaches_majority_without_primary
            && is_long_gone
            && !is_vouched_for
            && !is_elsewhere_heard
            && suspecting_count >= own_needed
    }
}

/// What makes a quorum of suspicion for one group.
pub(super) struct QuorumRule<'a> {
    pub(super) own_host: &'a HostId,
    pub(super) own_domain: &'a DomainId,
    pub(super) watchers: &'a [Watcher],
    pub(super) config: &'a ServiceConfig,
    pub(super) reaches_majority_without_primary: bool,
}

impl QuorumRule<'_> {
    fn counts(&self, host: &HostId) -> bool {
        self.watchers.is_empty() || self.watchers.iter().any(|watcher| watcher.host == *host)
    }

    fn hosts_needed(&self) -> usize {
        if self.watchers.is_empty() {
            2
        } else {
            self.watchers.len().min(2)
        }
    }

    fn domains_needed(&self) -> usize {
        let domains: BTreeSet<_> = if self.watchers.is_empty() {
            let instances = self.config.instances.values();
            instances.map(|instance| &instance.domain).collect()
        } else {
            self.watchers
                .iter()
                .map(|watcher| &watcher.domain)
                .collect()
        };
        domains.len().min(2)
    }

    fn own_domain_watchers(&self) -> usize {
        if self.watchers.is_empty() {
            return 2;
        }
        self.watchers
            .iter()
            .filter(|watcher| watcher.domain == *self.own_domain)
            .count()
    }
}
