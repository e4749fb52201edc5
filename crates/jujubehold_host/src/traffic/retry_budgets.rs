//! The retry budgets of all services on this host.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jujubehold_core::prelude::*;
use jujubehold_core::retry_budget::{RetryBudget, RetryBudgetSettings};
use metrics::counter;

use crate::metric_names::RETRIES;

/// The retry budgets by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: Mutex<BTreeMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Counts a request that is not a retry.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        let mut budgets = self.lock();
        if let Some(budget) = budgets.get_mut(service) {
            budget.count_request();
            return;
        }
        let budget = RetryBudget::new(RetryBudgetSettings::default());
        budgets.insert(service.clone(), budget);
    }

    /// Takes a retry from the service's budget and counts it; returns `false` if the budget is
    /// spent.
    pub(crate) fn try_retry(&self, service: &ServiceId, reason: RetryReason) -> bool {
        let is_allowed = self
            .lock()
            .get_mut(service)
            .is_some_and(RetryBudget::try_retry);
        if is_allowed {
            Self::count_retry(service, reason);
        }
        is_allowed
    }

    /// Counts a retry in the metrics only, without taking it from the budget.
    pub(crate) fn count_retry(service: &ServiceId, reason: RetryReason) {
        counter!(RETRIES, "service" => service.to_string(), "reason" => reason.as_str())
            .increment(1);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
