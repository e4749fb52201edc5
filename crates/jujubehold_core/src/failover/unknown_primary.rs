//! What counts as a sign of life or as a failure before any primary is known.
//!
//! A newly started host may see replicas that answer and an instance that does not. Neither shows
//! that the primary is gone: it may be too busy to accept one more connection. See
//! docs/notes/failover.md.

use crate::failover::Failover;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// Handles an instance that refused a connection because it is at its connection limit.
    ///
    /// The instance is alive, so it must not be failed over. Its role is unknown, so this host does
    /// not report it alive to other hosts.
    pub(super) fn on_refused(&mut self, instance: &InstanceId, sent_at: Monotonic) {
        let is_primary = self.view.primary.as_ref() == Some(instance) && !self.is_term_over();
        if is_primary || self.has_never_known_primary() {
            self.suspicion.note_sign_of_life(sent_at);
            self.clear_doubt(sent_at);
            self.cancel_unfenced_attempt();
        }
    }

    /// Returns whether an answer of an instance that serves no writes counts as a failure, when no
    /// primary is known.
    pub(super) fn is_leaderless(&self, now: Monotonic) -> bool {
        if !self.has_never_known_primary() {
            return self.view.primary.is_none();
        }
        // An instance that has not answered may be the primary.
        let mut instances = self.config.instances.keys();
        instances.all(|instance| self.is_reachable(now, instance))
    }

    /// Evaluates a replica's status before the view records it: a log that grows has a primary.
    pub(super) fn note_log_growth(&mut self, status: &InstanceStatus) {
        if !self.has_never_known_primary() {
            return;
        }
        let Some(last) = self.view.samples.get(&status.instance) else {
            return;
        };
        let has_grown = status.term == last.status.term && status.received > last.status.received;
        if has_grown {
            // The log grew at some time after the last answer was requested.
            let sent_at = last.sent_at;
            self.suspicion.note_sign_of_life(sent_at);
        }
    }

    fn has_never_known_primary(&self) -> bool {
        self.view.term == 0
    }
}
