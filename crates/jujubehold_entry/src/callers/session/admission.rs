//! Admission of an operation by the customer's quota.

use super::Session;
use crate::callers::failure::Failure;
use crate::callers::operation::Operation;
use crate::control::{AdmittedOperation, admit, give_back};
use crate::prelude::*;
use crate::protocol::{ErrorCode, UpstreamReply};

impl<P: Platform> Session<P> {
    /// Waits until the customer's quota admits an operation, as long as for a connection.
    pub(crate) async fn admit(
        &self,
        operation: &Operation,
        arrived_at: Monotonic,
    ) -> Result<AdmittedOperation, Failure> {
        self.may_have_run.set(false);
        let give_up_at = operation.wait_limits(arrived_at).give_up_at;
        let customer = operation.customer.as_ref();
        Ok(admit(&self.shared, customer, give_up_at).await?)
    }

    /// Notes that the instance that gave `reply` did not run the statement, if the reply says so.
    /// `before` is whether an earlier attempt may have run.
    pub(crate) fn note_not_run(&self, reply: &UpstreamReply, before: bool) {
        if reply.error().is_some_and(ErrorCode::is_not_run) {
            self.may_have_run.set(before);
        }
    }

    /// Returns the token of an operation if no instance can have run any of it.
    pub(crate) fn return_unused(&self, operation: &Operation, admitted: AdmittedOperation) {
        if !self.may_have_run.get() {
            give_back(&self.shared, operation.customer.as_ref(), admitted);
        }
    }
}
