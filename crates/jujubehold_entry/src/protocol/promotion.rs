//! How an instance is made primary.

use std::time::Duration;

use jujubehold_core::prelude::*;

/// Makes instances primary.
pub trait PromotionCall: std::fmt::Debug + 'static {
    /// Asks for a promotion. After `timeout` the call's connection is cut, so that the order can't
    /// arrive later.
    fn promote(
        &self,
        order: &PromotionOrder,
        timeout: Duration,
    ) -> impl Future<Output = PromotionOutcome>;
}

/// An order to make an instance primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: ServiceId,
    /// The instance that is to lead.
    pub instance: InstanceId,
    /// The host that orders it.
    pub host: HostId,
    /// A number that rises whenever another host gives orders.
    pub fencing_token: u64,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// It was taken.
    Taken,
    /// The instance can't lead.
    Refused,
    /// Nothing was done; it may be asked again.
    Unavailable,
    /// Whether it was taken is not known.
    Unknown,
}
