//! The call that promotes an instance to primary.

use std::time::Duration;

use jujubehold_core::prelude::*;

/// Promotes instances to primary.
pub trait PromotionCall: std::fmt::Debug + 'static {
    /// Orders a promotion. After `timeout` the call's connection is closed, so that the order can't
    /// arrive later.
    fn promote(
        &self,
        order: &PromotionOrder,
        timeout: Duration,
    ) -> impl Future<Output = PromotionOutcome>;
}

/// An order to promote an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: ServiceId,
    /// The instance to promote.
    pub instance: InstanceId,
    /// The host that gives the order.
    pub host: HostId,
    /// The fencing token, which increases whenever another host gives orders.
    pub fencing_token: u64,
}

/// The result of a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The order was accepted.
    Taken,
    /// The instance can't become primary.
    Refused,
    /// Nothing was done; the order may be repeated.
    Unavailable,
    /// Whether the order was accepted is not known.
    Unknown,
}
