//! Answers what a session's caller has asked before the host ends.

use super::Session;
use crate::callers::failure::Failure;
use crate::callers::operation::refuse;
use crate::phase::Phase;
use crate::prelude::*;
use crate::protocol::{Access, CallerRequest, RequestKind, UpstreamReply};

impl<P: Platform> Session<P> {
    /// Runs a request until the host has to answer everything. The request's connection to an instance
    /// is closed then, which rolls an open transaction back.
    pub(super) async fn run_while_serving(
        &mut self,
        request: &CallerRequest,
        arrived_at: Monotonic,
    ) -> Result<Option<UpstreamReply>, Failure> {
        if !needs_instance(&request.kind) {
            return self.run(request, arrived_at).await;
        }
        let is_in_transaction = self.transaction.is_some();
        self.may_have_run.set(false);
        let is_too_late = *self.phase.borrow() >= Phase::AnsweringRequests;
        if is_too_late {
            if let Some(mut transaction) = self.transaction.take() {
                transaction.fail();
            }
            return Err(self.unfinished(request, is_in_transaction));
        }
        let shared = Rc::clone(&self.shared);
        let result = tokio::select! {
            biased;
            result = self.run(request, arrived_at) => Some(result),
            () = shared.wait_for_last_answers() => None,
        };
        result.unwrap_or_else(|| Err(self.unfinished(request, is_in_transaction)))
    }

    // Returns the failure of a request that the host can't complete.
    fn unfinished(&self, request: &CallerRequest, is_in_transaction: bool) -> Failure {
        let is_commit = matches!(request.kind, RequestKind::Commit);
        let may_have_run = self.may_have_run.get();
        let rolled_back = || Failure::RolledBack(RefusalReason::ShuttingDown.as_str().into());
        let refused = || refuse(RefusalReason::ShuttingDown, Duration::ZERO).into();
        let unknown = Failure::Unknown(UnknownReason::ShuttingDown);
        if is_commit {
            return if may_have_run { unknown } else { rolled_back() };
        }
        if is_in_transaction {
            return rolled_back();
        }
        // It is safe to run a read twice.
        match self.resolve(request) {
            Ok((_, Access::Write)) if may_have_run => unknown,
            Ok((_, Access::Read | Access::Write)) | Err(_) => refused(),
        }
    }
}

fn needs_instance(kind: &RequestKind) -> bool {
    match kind {
        RequestKind::Data(_) | RequestKind::Execute { .. } | RequestKind::Commit => true,
        RequestKind::Begin { .. }
        | RequestKind::Rollback
        | RequestKind::Set { .. }
        | RequestKind::Prepare { .. }
        | RequestKind::Deallocate { .. }
        | RequestKind::Malformed(_) => false,
    }
}
