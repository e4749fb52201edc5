//! The datagrams between hosts.

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerMessage {
    /// The host that sent it.
    #[prost(string, tag = "1")]
    pub(crate) from: String,
    /// What it is for.
    #[prost(enumeration = "PeerMessageKind", tag = "2")]
    pub(crate) kind: i32,
    /// The sender's revision of the table of leads.
    #[prost(uint64, tag = "3")]
    pub(crate) table_revision: u64,
    /// That table, where the receiver may not have it.
    #[prost(bytes = "vec", optional, tag = "4")]
    pub(crate) table: Option<Vec<u8>>,
    /// The number of a question, given back with its answer.
    #[prost(uint64, tag = "5")]
    pub(crate) sequence: u64,
    /// The service that it is about.
    #[prost(string, tag = "6")]
    pub(crate) service: String,
    /// The instance that it is about.
    #[prost(string, tag = "7")]
    pub(crate) instance: String,
    /// Whether the sender replaces a primary.
    #[prost(bool, tag = "8")]
    pub(crate) is_changing: bool,
    /// The hosts that the sender gave its promise lately.
    #[prost(string, repeated, tag = "9")]
    pub(crate) promised: Vec<String>,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum PeerMessageKind {
    /// A newer table of leads.
    Table = 0,
    /// Asks for the promise that the receiver replaces no primary.
    AskPromise = 1,
    /// That promise, or that it can't be given.
    Promise = 2,
    /// The sender misses a primary.
    Vote = 3,
    /// Asks the receiver to stop using a primary.
    Stop = 4,
    /// The sender has stopped.
    Stopped = 5,
}
