//! Who a caller is: the customer whose key it sent.

use crate::prelude::*;
use crate::protocol::{CallerKey, Configuration};

/// How long a transaction may go on after its caller's key was revoked.
const REVOKED_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(2);

/// The key that a caller sent, and the customer that it identified when the session began.
#[derive(Debug, Clone, Default)]
pub(crate) struct Identity {
    key: Option<CallerKey>,
    customer: Option<CustomerId>,
    /// When this host applied the configuration in which the key no longer identifies the customer.
    revoked_at: Option<Monotonic>,
}

/// No customer has the key that a caller sent, and its database is not public.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnknownCaller;

impl Identity {
    /// Identifies a caller of `database` that sent `key`.
    pub(crate) fn new(
        configuration: &Configuration,
        database: &str,
        key: Option<CallerKey>,
    ) -> Result<Self, UnknownCaller> {
        let customer = identify(configuration, database, key.as_ref())?;
        Ok(Self {
            key,
            customer,
            revoked_at: None,
        })
    }

    /// Returns the customer, if the configuration has customers and the caller needed a key.
    pub(crate) fn customer(&self) -> Option<&CustomerId> {
        self.customer.as_ref()
    }

    /// Checks the key against a newer configuration, which this host applied at `applied_at`.
    pub(crate) fn check(
        &mut self,
        applied_at: Monotonic,
        configuration: &Configuration,
        database: &str,
    ) {
        match identify(configuration, database, self.key.as_ref()) {
            Ok(customer) if customer == self.customer => self.revoked_at = None,
            // The session began without a customer, and its key has been added since.
            Ok(Some(customer)) if self.customer.is_none() => {
                self.customer = Some(customer);
                self.revoked_at = None;
            }
            Ok(_) | Err(UnknownCaller) => {
                self.revoked_at.get_or_insert(applied_at);
            }
        }
    }

    /// Returns whether the key no longer identifies the customer.
    pub(crate) fn is_revoked(&self) -> bool {
        self.revoked_at.is_some()
    }

    /// Returns until when an open transaction may go on; `None` if the key is valid.
    pub(crate) fn transaction_ends_at(&self) -> Option<Monotonic> {
        self.revoked_at
            .map(|revoked_at| revoked_at + REVOKED_TRANSACTION_TIMEOUT)
    }
}

fn identify(
    configuration: &Configuration,
    database: &str,
    key: Option<&CallerKey>,
) -> Result<Option<CustomerId>, UnknownCaller> {
    let Some(customers) = &configuration.customers else {
        return Ok(None);
    };
    if let Some(customer) = key.and_then(|key| customers.holder(key)) {
        return Ok(Some(customer.clone()));
    }
    // A database that was removed is reported as such, so its callers need no key.
    let is_public = |route: &crate::protocol::Route| route.is_public;
    if configuration.routes.get(database).is_none_or(is_public) {
        return Ok(None);
    }
    Err(UnknownCaller)
}
