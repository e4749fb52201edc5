//! Tells whether the host should receive new callers.

use std::cell::Cell;

use log::info;

use crate::phase::Phase;
use crate::prelude::*;
use crate::shared::millis;

/// How long a host without a proof for any lead still reports that it is ready: a short outage of
/// the store should not move all callers.
const UNPROVED_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Determines whether the host is ready, and logs changes.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    unproved_since: Cell<Option<Monotonic>>,
    was_ready: Cell<bool>,
}

impl Readiness {
    /// Returns whether the host should receive new callers now.
    pub(crate) fn is_ready<P: Platform>(&self, shared: &Shared<P>) -> bool {
        let now = shared.now();
        let is_proved = {
            let lead_state = shared.lead_state.borrow();
            lead_state.has_proved_lead(now)
        };
        let since = if is_proved {
            None
        } else {
            Some(self.unproved_since.get().unwrap_or(now))
        };
        self.unproved_since.set(since);
        let is_unproved_too_long =
            since.is_some_and(|since| now.saturating_sub(since) > UNPROVED_GRACE_PERIOD);
        let has_configuration = shared.configuration.borrow().is_some();
        let has_proof = shared.lead_state.borrow().proof.read_sent_at().is_some();
        let is_serving = *shared.phase.borrow() == Phase::Serving;
        let is_ready = has_configuration && has_proof && is_serving && !is_unproved_too_long;
        if self.was_ready.replace(is_ready) != is_ready {
            info!(is_ready, has_configuration, is_proved, is_serving, now_ms = millis(now);
                "readiness changed");
        }
        is_ready
    }
}
