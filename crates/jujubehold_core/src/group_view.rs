//! A host's view of one database group.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::primary_positions::PrimaryPositions;
use crate::service_config::ServiceConfig;
use crate::value_type;

value_type! {
    /// The current primary, and the latest status of each instance.
    #[derive(Default)]
    pub struct GroupView {
        /// The highest term of which this host has proof.
        pub term: Term,
        /// The primary of that term, once known.
        pub primary: Option<InstanceId>,
        /// The latest sample of each instance.
        pub samples: BTreeMap<InstanceId, Sample>,
        /// The primary's positions over time, which show the age of a replica's data.
        pub primary_positions: PrimaryPositions,
    }

    /// A status and when it was requested.
    pub struct Sample {
        /// When the status was requested; the status is no older than this.
        pub sent_at: Monotonic,
        /// What the instance answered.
        pub status: InstanceStatus,
        /// The estimated lag of the instance behind the primary, from this and earlier statuses.
        pub lag: Duration,
    }
}

impl GroupView {
    /// Processes a status requested at `sent_at`; returns whether the primary changed.
    ///
    /// A primary counts only if it is not fenced above its own term and has the highest term seen.
    pub fn observe(&mut self, sent_at: Monotonic, status: InstanceStatus) -> bool {
        let mut is_changed = false;
        if status.is_primary_of(status.term) && status.term > self.term {
            self.term = status.term;
            self.primary = Some(status.instance.clone());
            is_changed = true;
        }
        if status.is_primary_of(self.term) && self.primary.as_ref() == Some(&status.instance) {
            self.primary_positions
                .add(self.term, sent_at, status.applied);
        }
        if self.has_lost_log(sent_at, &status) {
            self.primary = None;
            is_changed = true;
        }
        let is_newer = self
            .samples
            .get(&status.instance)
            .is_none_or(|sample| sample.sent_at <= sent_at);
        if is_newer {
            let sample = Sample {
                sent_at,
                lag: self.estimate_lag(sent_at, &status),
                status,
            };
            self.samples.insert(sample.status.instance.clone(), sample);
        }
        is_changed
    }

    // If the primary wrote nothing recently, a status that shows an instance up to date says little
    // about its lag. So the earlier estimate is kept, within the bounds that the status allows.
    fn estimate_lag(&self, sent_at: Monotonic, status: &InstanceStatus) -> Duration {
        let earlier = self
            .samples
            .get(&status.instance)
            .map_or(Duration::ZERO, |sample| sample.lag);
        let Some(bounds) = self
            .primary_positions
            .lag_bounds(self.term, sent_at, status)
        else {
            return earlier;
        };
        let capped = bounds
            .max_lag
            .map_or(earlier, |max_lag| earlier.min(max_lag));
        capped.max(bounds.min_lag)
    }

    // A primary's log only grows within its term. If it shrank, the primary came back without its
    // log, and what replicas hold of the lost log would falsely confirm its new commits.
    fn has_lost_log(&self, sent_at: Monotonic, status: &InstanceStatus) -> bool {
        self.primary.as_ref() == Some(&status.instance)
            && status.is_primary_of(self.term)
            && self
                .primary_positions
                .is_regression(self.term, sent_at, status.received)
    }

    /// Processes an announcement of a primary; returns whether the primary changed.
    pub fn announce(&mut self, term: Term, primary: &InstanceId) -> bool {
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.primary = Some(primary.clone());
        true
    }

    /// Returns the primary's last sampled position in the current term, and when it was requested.
    pub fn primary_sample(&self) -> Option<(Monotonic, Position)> {
        let sample = self.samples.get(self.primary.as_ref()?)?;
        (sample.status.term == self.term).then_some((sample.sent_at, sample.status.applied))
    }

    /// Returns when the latest proof of the current term was requested, if enough replicas have
    /// given one to meet every majority together with the primary.
    ///
    /// As long as these replicas are not fenced above the term, no majority is; see
    /// docs/notes/authority.md.
    pub fn term_proof(&self, config: &ServiceConfig) -> Option<Monotonic> {
        self.term_proof_among(config, self.samples.values(), None)
    }

    /// Returns the same as [`GroupView::term_proof`], with an answer that the view does not contain
    /// yet.
    pub fn term_proof_with(
        &self,
        config: &ServiceConfig,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> Option<Monotonic> {
        let others = self
            .samples
            .values()
            .filter(|sample| sample.status.instance != status.instance);
        self.term_proof_among(config, others, Some((sent_at, status)))
    }

    fn term_proof_among<'a>(
        &'a self,
        config: &ServiceConfig,
        samples: impl Iterator<Item = &'a Sample>,
        latest: Option<(Monotonic, &'a InstanceStatus)>,
    ) -> Option<Monotonic> {
        let mut proofs: Vec<_> = samples
            .map(|sample| (sample.sent_at, &sample.status))
            .chain(latest)
            .filter(|(_, status)| Some(&status.instance) != self.primary.as_ref())
            .filter(|(_, status)| status.confirms_term(self.term))
            .collect();
        proofs.sort_unstable_by_key(|(sent_at, _)| std::cmp::Reverse(*sent_at));
        // Takes the fewest newest proofs that suffice; the oldest of them sets the time.
        let is_enough = |count: usize| {
            config.intersects_every_majority(|name| {
                let mut newest = proofs.iter().take(count);
                Some(name) == self.primary.as_ref()
                    || newest.any(|(_, status)| status.instance == *name)
            })
        };
        let count = (1..=proofs.len()).find(|count| is_enough(*count))?;
        proofs.get(count - 1).map(|(sent_at, _)| *sent_at)
    }
}
