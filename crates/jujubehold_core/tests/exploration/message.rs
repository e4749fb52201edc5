//! What the hosts, the instances and the platform say to each other in the model.

use jujubehold_core::prelude::*;

use crate::instance::WriteId;

/// The number of an operation at the host that runs it.
pub(crate) type Tag = u64;

#[derive(Debug, Clone)]
pub(crate) enum Ask {
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
        tag: Tag,
    },
    ProveAgain {
        tag: Tag,
    },
    Commit {
        tag: Tag,
        write: WriteId,
        has_record: bool,
    },
    Lookup {
        tag: Tag,
        write: WriteId,
    },
    Read {
        tag: Tag,
    },
}

#[derive(Debug, Clone)]
pub(crate) enum Answer {
    Status,
    Committed,
    AlreadyRan,
    Refused,
    Found(bool),
    Data(Vec<WriteId>),
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A host's regular tick.
    Tick { host: usize },
    /// A question arrives at an instance.
    Asked {
        host: usize,
        instance: InstanceId,
        ask: Ask,
        asked_at: Monotonic,
        number: u64,
    },
    /// An answer, or `None` for a timeout, arrives at a host.
    Answered {
        host: usize,
        instance: InstanceId,
        ask: Ask,
        asked_at: Monotonic,
        number: u64,
        answer: Option<(InstanceStatus, Answer)>,
    },
    /// A host hears from another one.
    Heard {
        host: usize,
        event: jujubehold_core::failover_event::FailoverEvent,
    },
    /// The platform's record arrives and is answered later.
    Record {
        host: usize,
        term: Term,
        nonce: Nonce,
    },
    /// Replicas pull and apply.
    Replicate,
    /// A caller sends something.
    Caller,
    /// Something fails.
    Fail,
}
