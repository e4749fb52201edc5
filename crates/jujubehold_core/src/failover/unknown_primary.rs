//! What counts as a sign of life or as a failure while no primary has been known yet.
//!
//! A fresh host sees replicas that answer and perhaps an instance that does not. Neither says that
//! the primary is gone: it may be too busy to take one more connection. See docs/notes/failover.md.

use crate::failover::Failover;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// Takes in that an instance refused a connection because it has as many as it takes.
    ///
    /// It is alive, which no failover should pass over, but its role is not known; so this host
    /// does not vouch for it to others.
    pub(super) fn on_refused(&mut self, instance: &InstanceId, sent_at: Monotonic) {
        let is_primary = self.view.primary.as_ref() == Some(instance) && !self.is_term_over();
        if is_primary || self.has_known_no_primary() {
            self.suspicion.note_life(sent_at);
            self.calm(sent_at);
            self.cancel_false_alarm();
        }
    }

    /// Whether an answer of an instance that serves no writes counts as a failure, when no primary
    /// is known.
    pub(super) fn is_leaderless(&self, now: Monotonic) -> bool {
        if !self.has_known_no_primary() {
            return self.view.primary.is_none();
        }
        // An instance that has not answered may be the primary.
        let mut instances = self.config.instances.keys();
        instances.all(|instance| self.is_reached(now, instance))
    }

    /// Takes in a replica's answer before the view does: a log that grows has a primary.
    pub(super) fn note_growth(&mut self, status: &InstanceStatus) {
        if !self.has_known_no_primary() {
            return;
        }
        let Some(last) = self.view.samples.get(&status.instance) else {
            return;
        };
        let has_grown = status.term == last.status.term && status.received > last.status.received;
        if has_grown {
            // It grew at some time after the last answer was asked for.
            let sent_at = last.sent_at;
            self.suspicion.note_life(sent_at);
        }
    }

    fn has_known_no_primary(&self) -> bool {
        self.view.term == 0
    }
}
