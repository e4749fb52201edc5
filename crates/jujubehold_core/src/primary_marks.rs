//! The primary's positions over time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::value_type;

/// How much later than a mark a question must have left to be surely answered after it.
///
/// Questions overtake each other on different connections, so that a position may seem to shrink.
const ORDER_MARGIN: Duration = Duration::from_secs(1);

/// The most marks kept; a mark takes 40 bytes.
const CAPACITY: usize = 64;

value_type! {
    /// Positions of the present primary, each with when it was asked for.
    ///
    /// A replica that has applied a mark's position has all that was acknowledged when the mark
    /// was asked for, so its data is no older than the mark.
    #[derive(Default)]
    pub struct PrimaryMarks {
        term: Term,
        marks: VecDeque<Mark>,
    }

    struct Mark {
        // When the position was asked for the first time that this was the answer, and the last.
        first_sent_at: Monotonic,
        sent_at: Monotonic,
        position: Position,
    }

    /// Between which bounds a replica's lag lies, as one status tells.
    pub struct LagBounds {
        /// The replica has not applied what the primary had that long before.
        pub least: Duration,
        /// The replica has applied what the primary wrote after that long before; `None` when no
        /// mark tells when it was written.
        pub most: Option<Duration>,
    }
}

impl PrimaryMarks {
    /// Adds the position that the primary of `term` stated when asked at `sent_at`.
    ///
    /// Marks of lower terms are dropped, since a replaced primary's position proves nothing.
    pub fn add(&mut self, term: Term, sent_at: Monotonic, position: Position) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.marks.clear();
        }
        let mark = Mark {
            first_sent_at: sent_at,
            sent_at,
            position,
        };
        let Some(last) = self.marks.back_mut() else {
            self.marks.push_back(mark);
            return;
        };
        if sent_at <= last.sent_at || position < last.position {
            return;
        }
        if last.position == position {
            last.sent_at = sent_at;
            return;
        }
        self.marks.push_back(mark);
        if self.marks.len() > CAPACITY {
            self.thin();
        }
    }

    /// The term of the marks; 0 without any.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the newest mark of `term` was asked for.
    pub fn newest(&self, term: Term) -> Option<Monotonic> {
        let mark = self.marks.back()?;
        (term == self.term).then_some(mark.sent_at)
    }

    /// The newest position, and when it was last asked for.
    pub fn newest_position(&self) -> Option<(Position, Monotonic)> {
        let mark = self.marks.back()?;
        Some((mark.position, mark.sent_at))
    }

    /// When the newest mark was asked for that the instance has applied.
    pub fn newest_reached(&self, term: Term, status: &InstanceStatus) -> Option<Monotonic> {
        if term != self.term {
            return None;
        }
        self.marks
            .iter()
            .rev()
            .find(|mark| {
                status.applied >= mark.position && status.history.contains(term, mark.position)
            })
            .map(|mark| mark.sent_at)
    }

    /// Whether a primary that was asked at `sent_at` has less than it had surely before.
    pub fn is_contradicted(&self, term: Term, sent_at: Monotonic, position: Position) -> bool {
        term == self.term
            && self
                .marks
                .iter()
                .any(|mark| mark.position > position && mark.sent_at + ORDER_MARGIN <= sent_at)
    }

    /// When the primary was first seen at or past `position`.
    pub fn reached_by_primary(&self, term: Term, position: Position) -> Option<Monotonic> {
        let mark = self.marks.iter().find(|mark| mark.position >= position)?;
        (term == self.term).then_some(mark.first_sent_at)
    }

    /// When the primary was first seen beyond `position`; `None` while it was not.
    pub fn passed_by_primary(&self, term: Term, position: Position) -> Option<Monotonic> {
        let mark = self.marks.iter().find(|mark| mark.position > position)?;
        (term == self.term).then_some(mark.first_sent_at)
    }

    /// The position that makes data surely complete as of `time`, and when the primary was first
    /// seen there, which may be long before `time` when it writes seldom.
    pub fn complete_as_of(&self, term: Term, time: Monotonic) -> Option<(Position, Monotonic)> {
        let mark = self.marks.iter().find(|mark| mark.sent_at >= time)?;
        (term == self.term).then_some((mark.position, mark.first_sent_at))
    }

    /// What a status that was asked for at `sent_at` tells of its instance's lag; `None` without a
    /// mark that the instance has applied.
    pub fn lag_bounds(
        &self,
        term: Term,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> Option<LagBounds> {
        if term != self.term {
            return None;
        }
        let is_applied = |mark: &Mark| {
            status.applied >= mark.position && status.history.contains(term, mark.position)
        };
        let reached = self.marks.iter().rposition(is_applied)?;
        let next = self.marks.get(reached + 1);
        let before = reached.checked_sub(1).map(|index| &self.marks[index]);
        Some(LagBounds {
            least: next.map_or(Duration::ZERO, |mark| {
                sent_at.saturating_sub(mark.first_sent_at)
            }),
            most: before.map(|mark| sent_at.saturating_sub(mark.sent_at)),
        })
    }

    // Old marks may stand further apart, so every second one of the older half goes.
    fn thin(&mut self) {
        let mut index = 0;
        self.marks.retain(|_| {
            index += 1;
            index > CAPACITY / 2 || index % 2 == 0
        });
    }
}
