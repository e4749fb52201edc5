//! The events that the control thread handles.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubehold_core::config_store::PlatformValue;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::membership::Member;
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use tokio::sync::{mpsc, oneshot};

use crate::peer::PeerTarget;

/// An event of the control thread. All waiting happens in tasks, each of which ends by sending an
/// event, so that slow operations never block the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// An event of a group's failover.
    Group {
        /// The group's service.
        service: ServiceId,
        /// The group's event.
        event: FailoverEvent,
    },
    /// All services were read from the platform's key-value service.
    ServicesListed {
        /// The value of each service's key.
        services: BTreeMap<ServiceId, PlatformValue>,
    },
    /// The watch of the platform's key-value service reported a change of one service's key.
    ServiceChanged {
        /// The service.
        service: ServiceId,
        /// The key's new value.
        value: PlatformValue,
    },
    /// The platform's list of hosts was read or changed.
    HostsListed {
        /// The hosts on the list.
        hosts: Vec<Member>,
    },
    /// A peer sent a notification.
    Notified(Box<peer::NotifyRequest>),
    /// A peer sent an exchange request.
    ExchangeRequested {
        /// The peer's request.
        request: Box<peer::ExchangeRequest>,
        /// Sends the response to the peer.
        response_sender: oneshot::Sender<peer::ExchangeResponse>,
    },
    /// A peer's response to an exchange request was received.
    ExchangeResponse {
        /// The peer.
        with: PeerTarget,
        /// The peer's response.
        response: Box<peer::ExchangeResponse>,
    },
    /// A datagram was received.
    DatagramReceived {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's text.
        text: String,
    },
    /// An attempt to write a lost configuration back to the platform's key-value service ended.
    RestoreEnded,
    /// This host starts to drain and has to announce that it leaves.
    Leave,
}

/// The sender with which tasks and other threads send events to the control thread.
pub type ControlSender = mpsc::UnboundedSender<ControlEvent>;

/// The receiver from which the control thread takes events.
pub type ControlReceiver = mpsc::UnboundedReceiver<ControlEvent>;
