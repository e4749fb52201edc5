//! The customers in the operators' configuration, and the keys of their callers.

use std::collections::BTreeMap;

use jujubehold_core::prelude::*;
use jujubehold_core::quota::QuotaLimit;

use super::caller_key::CallerKey;
use super::field::Word;

jujubehold_core::value_type! {
    /// The customers of a configuration.
    #[derive(Default)]
    pub struct Customers {
        quotas: BTreeMap<CustomerId, Option<QuotaLimit>>,
        holders: BTreeMap<CallerKey, CustomerId>,
    }

    /// One customer.
    pub struct Customer {
        /// Its name.
        pub name: CustomerId,
        /// The keys of its callers.
        pub keys: Vec<CallerKey>,
        /// Its quota; `None` if it has none.
        pub quota: Option<QuotaLimit>,
    }
}

/// Why a list of customers is invalid. No message contains a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCustomers {
    /// Two customers have the same name.
    #[error("two customers are named {0}")]
    DuplicateName(CustomerId),
    /// A customer has a key that is empty or too long.
    #[error("customer {0} has a key that is empty or longer than 1,024 bytes")]
    UnusableKey(CustomerId),
    /// Two customers have the same key.
    #[error("customers {0} and {1} have a key in common")]
    SharedKey(CustomerId, CustomerId),
}

impl Customers {
    /// Creates the set of `customers`, without those whose names can't be sent to an instance because
    /// they are not a [`Word`]. Their keys identify nobody.
    ///
    /// # Errors
    /// Returns an error if a name is not unique, or a key identifies two customers.
    pub fn new(customers: impl IntoIterator<Item = Customer>) -> Result<Self, InvalidCustomers> {
        let mut set = Self::default();
        for customer in customers {
            set.add(customer)?;
        }
        let quotas = &set.quotas;
        set.holders.retain(|_, name| quotas.contains_key(name));
        Ok(set)
    }

    fn add(&mut self, customer: Customer) -> Result<(), InvalidCustomers> {
        let name = customer.name;
        let is_usable = Word::new(&name).is_ok();
        if is_usable && self.quotas.insert(name.clone(), customer.quota).is_some() {
            return Err(InvalidCustomers::DuplicateName(name));
        }
        for key in customer.keys {
            match self.holders.insert(key, name.clone()) {
                Some(other) if other != name => {
                    return Err(InvalidCustomers::SharedKey(other, name));
                }
                Some(_) | None => {}
            }
        }
        Ok(())
    }

    /// Returns the customer whose callers use `key`.
    pub fn holder(&self, key: &CallerKey) -> Option<&CustomerId> {
        self.holders.get(key)
    }

    /// Returns whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.quotas.values().any(Option::is_some)
    }

    /// Returns the quota of a customer; `None` if it has none or is not known.
    pub fn quota(&self, customer: &str) -> Option<QuotaLimit> {
        self.quotas.get(customer).copied().flatten()
    }

    /// Returns the quota of a customer, `Some(None)` if it has none; `None` if the customer is not
    /// known.
    pub fn quota_of(&self, customer: &str) -> Option<Option<QuotaLimit>> {
        self.quotas.get(customer).copied()
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// Returns whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }
}
