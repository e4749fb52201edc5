//! Decides whether an instance's answer to a read may be returned to the caller.
//!
//! All ages are measured by this host's clock alone. See docs/notes/session-floor.md.

use std::time::Duration;

use crate::authority::Authority;
use crate::floor::{Floor, FloorCheck};
use crate::group_view::GroupView;
use crate::ids::Monotonic;
use crate::instance_status::InstanceStatus;
use crate::service_config::ServiceConfig;
use crate::session_floor::FloorKnowledge;
use crate::value_type;

/// How many samples of the primary's position reads need within the age that they accept.
const SAMPLES_PER_READ_AGE: u32 = 10;
/// The shortest time between two samples that are requested because of reads.
const MIN_SAMPLING_INTERVAL: Duration = Duration::from_millis(20);

value_type! {
    /// The requirements of a read on the data that answers it.
    pub struct ReadNeed {
        /// The session's last write, which the data must include.
        pub floor: Option<Floor>,
        /// When the request arrived.
        pub as_of: Monotonic,
        /// How much older than `as_of` the data may be.
        pub age: Duration,
        /// A time as of which the data must be complete, even if `age` would allow older data.
        pub complete_since: Option<Monotonic>,
    }
}

crate::key_type! {
    /// Whether an answer may be given to the caller.
    pub enum ReadJudgement {
        /// The answer meets the need.
        Serve,
        /// The answer does not meet the need, but one from another instance or a later attempt may.
        Retry,
        /// The session's last write is no longer part of the group's history.
        FloorLost,
    }
}

impl ReadNeed {
    /// Computes the need of a request that arrived at `now`.
    ///
    /// A session that may have made writes unknown to this host needs the primary's position as of
    /// the request. A session whose writes were all acknowledged before some time, such as the
    /// start of its connection, needs what the primary had by then. A session that is known to have
    /// written nothing is bound by the service's read age only.
    pub fn new(config: &ServiceConfig, knowledge: FloorKnowledge, now: Monotonic) -> Self {
        let (floor, complete_since) = match knowledge {
            FloorKnowledge::Floor(floor) => (Some(floor), None),
            FloorKnowledge::NoWrites => (None, None),
            FloorKnowledge::UnknownBefore(time) => (None, Some(time)),
            FloorKnowledge::Unknown => (None, Some(now)),
        };
        Self {
            floor,
            as_of: now,
            age: config.read_age,
            complete_since,
        }
    }

    /// Returns the oldest time as of which the data may be complete.
    pub fn oldest_allowed(&self) -> Monotonic {
        let by_age = self.as_of.saturating_sub(self.age);
        self.complete_since.map_or(by_age, |time| time.max(by_age))
    }

    /// Returns whether no replica's answer can meet the need until the primary's position is
    /// sampled again.
    pub fn needs_newer_sample(&self, view: &GroupView) -> bool {
        view.primary_positions
            .newest(view.term)
            .is_none_or(|newest| newest < self.oldest_allowed())
    }

    /// Returns the interval at which reads need the primary's position to be sampled.
    ///
    /// A replica's data counts as old as the newest sample that the replica has reached, so its age
    /// is overestimated by up to this interval. With a tenth of the accepted age, few reads that a
    /// replica could serve go elsewhere, and the primary is asked ten times within that age.
    pub fn sampling_interval(&self) -> Duration {
        (self.age / SAMPLES_PER_READ_AGE).max(MIN_SAMPLING_INTERVAL)
    }

    /// Returns whether the primary's position should be sampled again for later reads.
    pub fn wants_newer_sample(&self, view: &GroupView) -> bool {
        view.primary_positions
            .newest(view.term)
            .is_none_or(|newest| newest + self.sampling_interval() <= self.as_of)
    }

    /// Judges an answer by the status that was requested at `sent_at`, before the read, on the same
    /// connection.
    pub fn judge(
        &self,
        config: &ServiceConfig,
        view: &GroupView,
        authority: &Authority,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> ReadJudgement {
        let floor_check = self.floor.as_ref().map(|floor| floor.check(status));
        match floor_check {
            Some(FloorCheck::Lost) => return ReadJudgement::FloorLost,
            Some(FloorCheck::Behind) => return ReadJudgement::Retry,
            Some(FloorCheck::Reached) | None => {}
        }
        let oldest_allowed = self.oldest_allowed();
        let is_fresh = complete_as_of(config, view, authority, sent_at, status)
            .is_some_and(|complete_as_of| complete_as_of >= oldest_allowed);
        if is_fresh {
            ReadJudgement::Serve
        } else {
            ReadJudgement::Retry
        }
    }
}

/// Returns the latest time, by this host's clock, as of which the instance is proved to have every
/// acknowledged write.
///
/// A primary's position counts as of the time it was requested, but no later than the proof of its
/// term is valid: a primary that does not know that it was replaced must not prove its own data.
pub fn complete_as_of(
    config: &ServiceConfig,
    view: &GroupView,
    authority: &Authority,
    sent_at: Monotonic,
    status: &InstanceStatus,
) -> Option<Monotonic> {
    let position_as_of = if status.is_primary_of(view.term) {
        sent_at
    } else {
        view.primary_positions.newest_reached(view.term, status)?
    };
    let is_primary_sufficient =
        config.intersects_every_majority(|name| Some(name) == view.primary.as_ref());
    if is_primary_sufficient {
        return Some(position_as_of);
    }
    // The status in a replica's answer to a read is itself a proof of the term.
    let proof_sent_at = view.term_proof_with(config, sent_at, status)?;
    Some(position_as_of.min(proof_sent_at + authority.window))
}
