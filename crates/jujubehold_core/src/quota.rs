//! Quotas: how many operations of a customer all hosts together admit.

mod limit;

pub use limit::QuotaLimit;
