//! The messages between hosts, instances and the platform in the simulation.

use jujubehold_core::prelude::*;

use crate::instance::WriteId;

/// The identifier of an operation at the host that runs it.
pub(crate) type OperationId = u64;

#[derive(Debug, Clone)]
pub(crate) enum Request {
    Status,
    Fence {
        term: Term,
        nonce: Nonce,
    },
    Promote {
        term: Term,
        nonce: Nonce,
    },
    Follow {
        term: Term,
        primary: InstanceId,
    },
    CatchUp {
        from: InstanceId,
        position: Position,
    },
    Confirm {
        operation: OperationId,
    },
    ProveAgain {
        operation: OperationId,
    },
    Commit {
        operation: OperationId,
        write: WriteId,
        has_record: bool,
    },
    Lookup {
        operation: OperationId,
        write: WriteId,
    },
    Read {
        operation: OperationId,
    },
}

#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Status,
    Committed,
    AlreadyRan,
    Refused,
    Found(bool),
    Data(Vec<WriteId>),
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A host's periodic tick.
    Tick { host: usize },
    /// A request arrives at an instance.
    RequestArrived {
        host: usize,
        instance: InstanceId,
        request: Request,
        sent_at: Monotonic,
        number: u64,
    },
    /// A reply, or `None` for a timeout, arrives at a host.
    ReplyArrived {
        host: usize,
        instance: InstanceId,
        request: Request,
        sent_at: Monotonic,
        number: u64,
        reply: Option<(InstanceStatus, Reply)>,
    },
    /// A notification from another host arrives.
    Notification {
        host: usize,
        event: jujubehold_core::failover_event::FailoverEvent,
    },
    /// A write of a primary record arrives at the platform, which answers later.
    WriteRecord {
        host: usize,
        term: Term,
        nonce: Nonce,
    },
    /// Replicas pull and apply entries.
    Replicate,
    /// A caller starts an operation.
    CallerOperation,
    /// A fault is injected.
    InjectFault,
}
