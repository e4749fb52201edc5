//! The conditions under which an attempt starts.

use std::collections::BTreeMap;

use crate::failover::Failover;
use crate::failover::attempt::{Attempt, Step};
use crate::failover::phases::Phases;
use crate::failover::suspicion::QuorumRule;
use crate::failover_action::FailoverAction;
use crate::ids::{HostId, InstanceId, Monotonic};

impl Failover {
    /// Takes every action that is due at `now`.
    pub(super) fn advance(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let lifetime = self.settings.suspicion_lifetime;
        self.suspicion.expire(now, lifetime);
        if !self.is_watching() {
            // Any host may receive an operator's request; it follows the group for the duration of
            // its attempt.
            self.start_planned_change(now, actions);
            self.advance_attempt(now, actions);
            return;
        }
        let is_suspected = self.suspects_primary(now);
        if is_suspected && self.may_share(now, self.suspicion_shared_at) {
            self.suspicion_shared_at = Some(now);
            let term = self.view.term;
            actions.push(FailoverAction::ShareSuspicion { term });
        }
        if is_suspected {
            self.start_failover(now, actions);
        } else {
            self.share_doubt(now, actions);
            self.start_planned_change(now, actions);
        }
        self.advance_attempt(now, actions);
        self.probe(now, actions);
    }

    /// Returns this host's rank among the watchers accepted by `counts`.
    pub(super) fn rank(&self, counts: impl Fn(&HostId) -> bool) -> usize {
        self.watchers
            .iter()
            .take_while(|watcher| watcher.host != self.host)
            .filter(|watcher| counts(&watcher.host))
            .count()
    }

    fn start_failover(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if self.attempt.is_some() || now < self.hold_until {
            return;
        }
        // Fencing a minority would take replicas away from a primary that may be serving.
        if !self.reaches_majority(now, |_| true) {
            return;
        }
        let primary = self.view.primary.clone();
        let reaches_majority_without_primary =
            self.reaches_majority(now, |instance| Some(instance) != primary.as_ref());
        let rule = QuorumRule {
            own_host: &self.host,
            own_domain: &self.domain,
            watchers: &self.watchers,
            config: &self.config,
            reaches_majority_without_primary,
        };
        let term = self.view.term;
        let Some(since) = self
            .suspicion
            .quorum_since(now, &self.settings, &rule, term)
        else {
            return;
        };
        let suspecting_hosts: Vec<_> = self.suspicion.suspecting_hosts(term).collect();
        let rank =
            u32::try_from(self.rank(|host| suspecting_hosts.contains(&host))).unwrap_or(u32::MAX);
        if now < since + self.settings.rank_delay.saturating_mul(rank) {
            return;
        }
        let detect = now.saturating_sub(self.suspicion.last_sign_of_life());
        self.start(now, None, detect, actions);
    }

    fn start_planned_change(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if self.attempt.is_some() || now < self.hold_until {
            return;
        }
        if let Some(instance) = self.due_change(now) {
            self.start(now, Some(instance), Monotonic::ZERO, actions);
        }
    }

    fn start(
        &mut self,
        now: Monotonic,
        target: Option<InstanceId>,
        detect: Monotonic,
        actions: &mut Vec<FailoverAction>,
    ) {
        let term = self.highest_term.max(self.view.term) + 1;
        let nonce = self.next_nonce();
        self.highest_term = term;
        self.attempt = Some(Attempt {
            term,
            nonce,
            target,
            old_primary: self.view.primary.clone(),
            step: Step::Record,
            started_at: now,
            step_started_at: now,
            sent_at: now,
            granted: BTreeMap::new(),
            majority_at: None,
            choice: None,
            phases: Phases {
                detect,
                ..Phases::default()
            },
        });
        actions.push(FailoverAction::Record { term, nonce });
    }
}
