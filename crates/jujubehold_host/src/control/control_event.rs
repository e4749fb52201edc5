//! What happens to a host's control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubehold_core::config_store::PlatformValue;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::membership::Member;
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use tokio::sync::{mpsc, oneshot};

use crate::peer::PeerTarget;

/// An event of the control thread. Whatever waits runs in a task and ends in one of these, so
/// that nothing slow ever holds up the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// Something happened to a group.
    Group {
        /// The group's service.
        service: ServiceId,
        /// What happened.
        event: FailoverEvent,
    },
    /// The platform's service showed the whole configuration.
    Listed {
        /// Every key's value.
        services: BTreeMap<ServiceId, PlatformValue>,
    },
    /// The platform's service showed one key.
    Shown {
        /// The key's service.
        service: ServiceId,
        /// Its value.
        value: PlatformValue,
    },
    /// The platform's list of hosts was read.
    HostsListed {
        /// The hosts on it.
        hosts: Vec<Member>,
    },
    /// A peer sent a notification.
    Notified(Box<peer::NotifyRequest>),
    /// A peer asks for an exchange.
    ExchangeAsked {
        /// What it states.
        request: Box<peer::ExchangeRequest>,
        /// Where the answer goes.
        answer: oneshot::Sender<peer::ExchangeResponse>,
    },
    /// A peer answered an exchange.
    Exchanged {
        /// The peer.
        with: PeerTarget,
        /// Its answer.
        response: Box<peer::ExchangeResponse>,
    },
    /// A datagram came in.
    Received {
        /// The address it came from.
        from: SocketAddr,
        /// Its text.
        text: String,
    },
    /// A write of a lost configuration back into the platform's service ended.
    RestoreEnded,
    /// This host leaves.
    Leave,
}

/// How tasks and other threads send events to the control thread.
pub type ControlSender = mpsc::UnboundedSender<ControlEvent>;

/// How the control thread takes them.
pub type ControlReceiver = mpsc::UnboundedReceiver<ControlEvent>;
