//! Log lines and counters of rejected sessions and failed requests.

use log::info;
use metrics::counter;
use smol_str::format_smolstr;

use super::Session;
use crate::callers::failure::Failure;
use crate::metric_names::{REFUSALS, UNKNOWNS};
use crate::prelude::*;
use crate::protocol::CallerRequest;
use crate::shared::millis;

impl<P: Platform> Session<P> {
    /// Logs that the session was not admitted.
    pub(super) fn log_rejection(&self, failure: &Failure) {
        if self.shared.log.allows(self.shared.now()) {
            let version = self.checked_version;
            info!(database = self.database.as_str(), reason = failure.reason().as_str(),
                configuration = version,
                directory_age_ms = millis(self.shared.directory_age());
                "session rejected");
        }
    }

    /// Logs that the session ends because its caller's key was revoked.
    pub(super) fn log_revoked(&self) {
        if self.shared.log.allows(self.shared.now()) {
            let version = self.checked_version;
            info!(database = self.database.as_str(), customer = self.customer_name(),
                configuration = version;
                "closing a session whose key was revoked");
        }
    }

    // Returns the customer for log lines; empty if there is none.
    fn customer_name(&self) -> &str {
        self.identity.customer().map_or("", CustomerId::as_str)
    }

    /// Counts and logs a failed request.
    pub(super) fn log_failure(
        &self,
        request: &CallerRequest,
        arrived_at: Monotonic,
        failure: &Failure,
    ) {
        self.count_failure(failure);
        let now = self.shared.now();
        if !self.shared.log.allows(now) {
            return;
        }
        let (read_age, revision) = self.lead_age(now);
        let service = self.shared.route(&self.database).map(|route| route.service);
        let (code, detail) = failure.answer();
        info!(request = request.id.as_str(), database = self.database.as_str(),
            customer = self.customer_name(),
            service = service.unwrap_or_default().as_str(), reason = failure.reason().as_str(),
            told = code.as_str(), detail = detail.as_str(),
            state = format_smolstr!("{:?}", self.state()).as_str(),
            taken_ms = millis(now.saturating_sub(arrived_at)),
            configuration = *self.shared.configuration_version.borrow(),
            directory_age_ms = millis(self.shared.directory_age()),
            lead_revision = revision, lead_age_ms = read_age;
            "request failed");
    }

    // Returns the age in milliseconds of the read of the table of leads, and its revision.
    fn lead_age(&self, now: Monotonic) -> (u64, u64) {
        let lead_state = self.shared.lead_state.borrow();
        let read_at = lead_state.proof.read_sent_at().unwrap_or_default();
        (
            millis(now.saturating_sub(read_at)),
            lead_state.table.revision,
        )
    }

    /// Counts a refusal or an unknown outcome by service and reason.
    pub(super) fn count_failure(&self, failure: &Failure) {
        let service = self.shared.route(&self.database).map(|route| route.service);
        let service = service.unwrap_or_default().to_string();
        let reason = failure.reason().to_string();
        let name = match failure {
            Failure::Unknown(_) => UNKNOWNS,
            Failure::Refused(_) | Failure::RolledBack(_) | Failure::Error { .. } => REFUSALS,
        };
        counter!(name, "service" => service, "reason" => reason).increment(1);
    }
}
