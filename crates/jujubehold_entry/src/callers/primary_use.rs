//! Counts the statements and transactions that this host runs on a primary.
//!
//! A planned change of primary waits until none is left.

use crate::prelude::*;

/// Counts one statement or transaction on a primary until it is dropped.
#[derive(Debug)]
pub(crate) struct PrimaryUse<P: Platform> {
    shared: Rc<Shared<P>>,
    service: ServiceId,
}

impl<P: Platform> PrimaryUse<P> {
    pub(crate) fn begin(shared: &Rc<Shared<P>>, service: &ServiceId) -> Self {
        shared.with_group(service, |group| group.primary_uses += 1);
        Self {
            shared: Rc::clone(shared),
            service: service.clone(),
        }
    }
}

impl<P: Platform> Drop for PrimaryUse<P> {
    fn drop(&mut self) {
        self.shared.with_group(&self.service, |group| {
            group.primary_uses = group.primary_uses.saturating_sub(1);
        });
    }
}
