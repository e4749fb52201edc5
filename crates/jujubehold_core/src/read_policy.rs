//! Whether an instance's answer to a read may be given to the caller.
//!
//! Every age is told by this host's clock alone. See docs/notes/session-floor.md.

use std::time::Duration;

use crate::authority::Authority;
use crate::floor::{Floor, FloorCheck};
use crate::group_view::GroupView;
use crate::ids::Monotonic;
use crate::instance_status::InstanceStatus;
use crate::service_config::ServiceConfig;
use crate::session_floor::FloorKnowledge;
use crate::value_type;

/// How many marks of the primary's position reads want within the age that they accept.
const MARKS_PER_AGE: u32 = 10;
/// The least time between two marks that are asked for because of reads.
const MIN_MARK_SPACING: Duration = Duration::from_millis(20);

value_type! {
    /// What a read needs of the data that answers it.
    pub struct ReadNeed {
        /// The session's last write, which the answer must contain.
        pub floor: Option<Floor>,
        /// When the request arrived.
        pub as_of: Monotonic,
        /// How long before `as_of` the data may be from.
        pub age: Duration,
        /// A time of which the data must be complete, whatever its age may be.
        pub complete_since: Option<Monotonic>,
    }
}

crate::key_type! {
    /// Whether an answer may be given to the caller.
    pub enum ReadJudgement {
        /// It meets the need.
        Serve,
        /// It does not meet the need, but another instance or a later try may.
        Retry,
        /// The session's last write is not part of the group's history any more.
        Cut,
    }
}

impl ReadNeed {
    /// The need of a request that arrived at `now`.
    ///
    /// A session that may have written what no one here knows of needs the primary's position as
    /// of the request. One whose writes were all acknowledged by some time, such as the start of its
    /// connection, needs what the primary had by then; one that surely wrote nothing takes the
    /// service's read age alone.
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

    /// The oldest time of which the data may be complete.
    pub fn oldest_allowed(&self) -> Monotonic {
        let by_age = self.as_of.saturating_sub(self.age);
        self.complete_since.map_or(by_age, |time| time.max(by_age))
    }

    /// Whether no answer of a replica can meet the need before the primary's position is asked
    /// for again.
    pub fn needs_newer_mark(&self, view: &GroupView) -> bool {
        view.primary_positions
            .newest(view.term)
            .is_none_or(|newest| newest < self.oldest_allowed())
    }

    /// How far apart the marks may stand.
    ///
    /// A replica's data counts as old as the newest mark that it has reached, so its age seems
    /// greater than it is by up to this. A tenth of the accepted age costs few of the reads that a
    /// replica could serve, and ten questions in that time.
    pub fn mark_spacing(&self) -> Duration {
        (self.age / MARKS_PER_AGE).max(MIN_MARK_SPACING)
    }

    /// Whether the primary's position should be asked for again for the reads to come.
    pub fn wants_newer_mark(&self, view: &GroupView) -> bool {
        view.primary_positions
            .newest(view.term)
            .is_none_or(|newest| newest + self.mark_spacing() <= self.as_of)
    }

    /// Judges an answer by the status that was asked for at `sent_at`, before the read, on the
    /// same connection.
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
            Some(FloorCheck::Cut) => return ReadJudgement::Cut,
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

/// The latest time, by this host's clock, of which the instance surely has every acknowledged
/// write.
///
/// A primary's position counts as of when it was asked for, but no later than its term's proof
/// holds: a primary that was replaced unawares must not vouch for itself.
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
    let is_enough_alone =
        config.intersects_every_majority(|name| Some(name) == view.primary.as_ref());
    if is_enough_alone {
        return Some(position_as_of);
    }
    // A replica that answers a read stands for the term by that answer.
    let proof_sent_at = view.term_proof_with(config, sent_at, status)?;
    Some(position_as_of.min(proof_sent_at + authority.window))
}
