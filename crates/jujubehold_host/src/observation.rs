//! The observations of instances that traffic threads send to the control thread.

use jujubehold_core::prelude::*;
use tokio::sync::mpsc;

/// A traffic thread's observation of an instance.
#[derive(Debug, Clone)]
pub enum Observation {
    /// An instance returned its status along with a statement's result.
    Status {
        /// The service.
        service: ServiceId,
        /// When this host sent the query.
        sent_at: Monotonic,
        /// The status that the instance returned.
        status: InstanceStatus,
    },
    /// A connection to an instance could not be opened, or broke.
    Unreachable {
        /// The service.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
    },
}

/// The sender with which traffic threads send observations.
pub type ObservationSender = mpsc::UnboundedSender<Observation>;

/// The receiver from which the control thread takes observations.
pub type ObservationReceiver = mpsc::UnboundedReceiver<Observation>;
