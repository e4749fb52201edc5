//! Who the caller of a session is, and what a session whose caller's key was revoked may still run.

use super::{Session, authentication_failed};
use crate::callers::failure::Failure;
use crate::callers::identity::{Identity, UnknownCaller};
use crate::callers::operation::refuse;
use crate::prelude::*;
use crate::protocol::{CallerKey, RequestKind};

/// The time that a host whose knowledge is old usually takes to renew it, once others answer.
const CONFIRMATION_TIME: Duration = Duration::from_millis(700);

impl<P: Platform> Session<P> {
    /// Identifies the caller by its key under the current configuration.
    pub(super) fn identify(&mut self, key: Option<CallerKey>) -> Result<(), Failure> {
        self.checked_version = *self.configuration_version.borrow();
        let configuration = self.shared.configuration.borrow().clone();
        let configuration = configuration
            .filter(|configuration| configuration.routes.contains_key(&self.database))
            .ok_or_else(|| self.unknown_database())?;
        self.identity = Identity::new(&configuration, &self.database, key)
            .map_err(|UnknownCaller| self.deny(authentication_failed()))?;
        Ok(())
    }

    /// Returns `denial`, the answer that something is not in the configuration, or a refusal if this
    /// host may lack a version that has it.
    pub(super) fn deny(&self, denial: Failure) -> Failure {
        let now = self.shared.now();
        if self
            .shared
            .directory_progress
            .borrow()
            .is_absence_certain(now)
        {
            return denial;
        }
        refuse(RefusalReason::DirectoryUnconfirmed, CONFIRMATION_TIME).into()
    }

    /// Checks the caller's key against the current configuration if that has changed.
    pub(super) fn check_identity(&mut self) {
        let version = *self.configuration_version.borrow();
        if version == self.checked_version {
            return;
        }
        self.checked_version = version;
        if let Some(configuration) = &*self.shared.configuration.borrow() {
            let applied_at = self.shared.configuration_applied_at.get();
            self.identity
                .check(applied_at, configuration, &self.database);
        }
    }

    /// Returns whether the caller's key was revoked and nothing admitted before is left to end.
    pub(super) fn has_lost_access(&self) -> bool {
        self.identity.is_revoked() && self.transaction.is_none()
    }

    /// Rejects a request whose caller's key was revoked, unless it belongs to a transaction that
    /// may still end.
    pub(super) fn reject_revoked(&mut self, kind: &RequestKind) -> Result<(), Failure> {
        let ends_at = self.identity.transaction_ends_at();
        let Some(transaction) = &mut self.transaction else {
            return if ends_at.is_some() {
                Err(authentication_failed())
            } else {
                Ok(())
            };
        };
        transaction.operation.ends_at = ends_at;
        let is_over = ends_at.is_some_and(|ends_at| self.shared.now() >= ends_at);
        if !is_over || *kind == RequestKind::Rollback {
            return Ok(());
        }
        transaction.fail();
        if *kind == RequestKind::Commit {
            self.transaction = None;
        }
        Err(Failure::RolledBack("key_revoked".into()))
    }
}
