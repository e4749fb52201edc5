//! Which hosts can and cannot reach the primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::failover::settings::FailoverSettings;
use crate::ids::{DomainId, HostId, Monotonic, Term};
use crate::ownership::Watcher;
use crate::service_config::ServiceConfig;
use crate::value_type;

value_type! {
    /// What this host and the group's other watchers report about the primary.
    #[derive(Default)]
    pub(super) struct SuspicionTable {
        // The last sign of life, or when the state was last reset.
        last_sign_of_life: Monotonic,
        proved_alive_at: Option<Monotonic>,
        failures: u32,
        suspicion_reports: BTreeMap<HostId, Report>,
        liveness_reports: BTreeMap<HostId, Report>,
        quorum_since: Option<Monotonic>,
    }

    struct Report {
        domain: DomainId,
        term: Term,
        received_at: Monotonic,
    }
}

impl Report {
    fn new(received_at: Monotonic, domain: DomainId, term: Term) -> Self {
        Self {
            domain,
            term,
            received_at,
        }
    }
}

impl SuspicionTable {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            last_sign_of_life: now,
            ..Self::default()
        }
    }

    pub(super) fn last_sign_of_life(&self) -> Monotonic {
        self.last_sign_of_life
    }

    /// Returns whether a probe failed since the last sign of life.
    pub(super) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the primary gave proof of life at or after `since`.
    pub(super) fn has_proof_since(&self, since: Monotonic) -> bool {
        self.proved_alive_at.is_some_and(|at| at >= since)
    }

    /// Resets the state, as after a change of primary or a pause of this host.
    pub(super) fn reset(&mut self, now: Monotonic) {
        *self = Self::new(now);
    }

    pub(super) fn note_proof_of_life(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_sign_of_life {
            self.proved_alive_at = Some(sent_at);
            self.note_sign_of_life(sent_at);
        }
    }

    /// Records a sign of life that shows nothing about the instance's role.
    pub(super) fn note_sign_of_life(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_sign_of_life {
            self.last_sign_of_life = sent_at;
            self.failures = 0;
            self.quorum_since = None;
        }
    }

    pub(super) fn count_failure(&mut self, sent_at: Monotonic) {
        if sent_at >= self.last_sign_of_life {
            self.failures = self.failures.saturating_add(1);
        }
    }

    pub(super) fn record_suspicion(
        &mut self,
        now: Monotonic,
        host: HostId,
        domain: DomainId,
        term: Term,
    ) {
        self.liveness_reports.remove(&host);
        self.suspicion_reports
            .insert(host, Report::new(now, domain, term));
    }

    pub(super) fn record_liveness(
        &mut self,
        now: Monotonic,
        host: HostId,
        domain: DomainId,
        term: Term,
    ) {
        self.suspicion_reports.remove(&host);
        self.liveness_reports
            .insert(host, Report::new(now, domain, term));
    }

    /// Returns whether this host itself suspects the primary.
    pub(super) fn is_suspected(&self, settings: &FailoverSettings, now: Monotonic) -> bool {
        self.failures >= settings.suspect_failures
            && now.saturating_sub(self.last_sign_of_life) >= settings.suspect_after
    }

    /// Drops reports that are too old to count.
    pub(super) fn expire(&mut self, now: Monotonic, lifetime: Duration) {
        let is_fresh = |report: &Report| now.saturating_sub(report.received_at) <= lifetime;
        self.suspicion_reports.retain(|_, report| is_fresh(report));
        self.liveness_reports.retain(|_, report| is_fresh(report));
    }

    /// Returns since when enough hosts of enough failure domains have suspected the primary of
    /// `term`.
    ///
    /// This host counts as one of them; it must suspect the primary itself.
    pub(super) fn quorum_since(
        &mut self,
        now: Monotonic,
        settings: &FailoverSettings,
        rule: &QuorumRule<'_>,
        term: Term,
    ) -> Option<Monotonic> {
        let reports: BTreeMap<_, _> = self
            .suspicion_reports
            .iter()
            .filter(|(host, report)| report.term == term && rule.counts(host))
            .map(|(host, report)| (host, &report.domain))
            .chain([(rule.own_host, rule.own_domain)])
            .collect();
        let domains: BTreeSet<_> = reports.values().collect();
        let is_quorum =
            reports.len() >= rule.hosts_needed() && domains.len() >= rule.domains_needed();
        let is_met =
            is_quorum || self.may_act_as_single_domain(now, settings, rule, term, reports.len());
        if !is_met {
            self.quorum_since = None;
        }
        is_met.then(|| *self.quorum_since.get_or_insert(now))
    }

    /// Returns the other hosts that suspect the primary of `term`.
    pub(super) fn suspecting_hosts(&self, term: Term) -> impl Iterator<Item = &HostId> {
        self.suspicion_reports
            .iter()
            .filter(move |(_, report)| report.term == term)
            .map(|(host, _)| host)
    }

    // If no suspicion arrives from another failure domain, the hosts of this one act after a longer
    // delay, provided that enough of them suspect the primary and no host reports it alive.
    fn may_act_as_single_domain(
        &self,
        now: Monotonic,
        settings: &FailoverSettings,
        rule: &QuorumRule<'_>,
        term: Term,
        suspecting_count: usize,
    ) -> bool {
        let is_long_unreachable =
            now.saturating_sub(self.last_sign_of_life) >= settings.single_domain_delay;
        let is_reported_alive = self
            .liveness_reports
            .values()
            .any(|report| report.term >= term);
        let has_other_domain_report = self
            .suspicion_reports
            .values()
            .any(|report| report.domain != *rule.own_domain);
        let own_needed = rule.own_domain_watchers().min(2);
        rule.reaches_majority_without_primary
            && is_long_unreachable
            && !is_reported_alive
            && !has_other_domain_report
            && suspecting_count >= own_needed
    }
}

/// The conditions for a quorum of suspicions in one group.
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
