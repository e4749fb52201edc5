//! What traffic tells the control thread.

use jujubehold_core::prelude::*;
use tokio::sync::mpsc;

/// Something that a traffic thread learned of an instance.
#[derive(Debug, Clone)]
pub enum Observation {
    /// An instance stated its status beside a statement.
    Status {
        /// The service.
        service: ServiceId,
        /// When the query left this host.
        sent_at: Monotonic,
        /// What the instance answered.
        status: InstanceStatus,
    },
    /// An instance could not be reached, or its connection broke.
    Unreachable {
        /// The service.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
    },
}

/// How a traffic thread sends observations.
pub type ObservationSender = mpsc::UnboundedSender<Observation>;

/// How the control thread takes them.
pub type ObservationReceiver = mpsc::UnboundedReceiver<Observation>;
