//! What a host knows of one database group.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::primary_marks::PrimaryMarks;
use crate::service_config::ServiceConfig;
use crate::value_type;

value_type! {
    /// The present primary, and the latest status of each instance.
    #[derive(Default)]
    pub struct GroupView {
        /// The highest term that this host has proof of.
        pub term: Term,
        /// The primary of that term, once known.
        pub primary: Option<InstanceId>,
        /// The latest sample of each instance.
        pub samples: BTreeMap<InstanceId, Sample>,
        /// The primary's positions over time, which tell the age of a replica's data.
        pub marks: PrimaryMarks,
    }

    /// A status and when it was asked for.
    pub struct Sample {
        /// When the query left this host; the status is no older than this.
        pub sent_at: Monotonic,
        /// What the instance answered.
        pub status: InstanceStatus,
        /// How far the instance is thought to be behind the primary, by this and earlier statuses.
        pub lag: Duration,
    }
}

impl GroupView {
    /// Takes in a status that was asked for at `sent_at`; returns whether the primary changed.
    ///
    /// A primary counts only while it is not fenced past its own term, and only of the highest
    /// term seen.
    pub fn observe(&mut self, sent_at: Monotonic, status: InstanceStatus) -> bool {
        let mut is_changed = false;
        if status.is_primary_of(status.term) && status.term > self.term {
            self.term = status.term;
            self.primary = Some(status.instance.clone());
            is_changed = true;
        }
        if status.is_primary_of(self.term) && self.primary.as_ref() == Some(&status.instance) {
            self.marks.add(self.term, sent_at, status.applied);
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
                lag: self.lag(sent_at, &status),
                status,
            };
            self.samples.insert(sample.status.instance.clone(), sample);
        }
        is_changed
    }

    // A status that shows an instance up to date tells little of its lag when the primary wrote
    // nothing of late, so the earlier estimate stays as far as the status allows it.
    fn lag(&self, sent_at: Monotonic, status: &InstanceStatus) -> Duration {
        let earlier = self
            .samples
            .get(&status.instance)
            .map_or(Duration::ZERO, |sample| sample.lag);
        let Some(bounds) = self.marks.lag_bounds(self.term, sent_at, status) else {
            return earlier;
        };
        let at_most = bounds.most.map_or(earlier, |most| earlier.min(most));
        at_most.max(bounds.least)
    }

    // A primary's log only grows within its term. One that shrank came back without it, and what
    // replicas hold of the lost log would falsely confirm its new commits.
    fn has_lost_log(&self, sent_at: Monotonic, status: &InstanceStatus) -> bool {
        self.primary.as_ref() == Some(&status.instance)
            && status.is_primary_of(self.term)
            && self
                .marks
                .is_contradicted(self.term, sent_at, status.received)
    }

    /// Takes in an announcement of a primary; returns whether the primary changed.
    pub fn announce(&mut self, term: Term, primary: &InstanceId) -> bool {
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.primary = Some(primary.clone());
        true
    }

    /// The primary's last sampled position in the present term.
    pub fn primary_sample(&self) -> Option<(Monotonic, Position)> {
        let sample = self.samples.get(self.primary.as_ref()?)?;
        (sample.status.term == self.term).then_some((sample.sent_at, sample.status.applied))
    }

    /// When the latest proof of the present term was asked for, if so many replicas have given one
    /// that with the primary they meet every majority.
    ///
    /// As long as they are not fenced past the term no majority is; see docs/notes/authority.md.
    pub fn term_proof(&self, config: &ServiceConfig) -> Option<Monotonic> {
        self.proof_of(config, self.samples.values(), None)
    }

    /// The same, with an answer that the view has not taken in yet.
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
        self.proof_of(config, others, Some((sent_at, status)))
    }

    fn proof_of<'a>(
        &'a self,
        config: &ServiceConfig,
        samples: impl Iterator<Item = &'a Sample>,
        latest: Option<(Monotonic, &'a InstanceStatus)>,
    ) -> Option<Monotonic> {
        let mut proofs: Vec<_> = samples
            .map(|sample| (sample.sent_at, &sample.status))
            .chain(latest)
            .filter(|(_, status)| Some(&status.instance) != self.primary.as_ref())
            .filter(|(_, status)| status.proves(self.term))
            .collect();
        proofs.sort_unstable_by_key(|(sent_at, _)| std::cmp::Reverse(*sent_at));
        // The newest proofs that are enough; the oldest of them tells when.
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
