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
    /// The revision of the announcement that is answered.
    #[prost(uint64, tag = "5")]
    pub(crate) announcement: u64,
    /// The service that it is about.
    #[prost(string, tag = "6")]
    pub(crate) service: String,
    /// The instance that it is about.
    #[prost(string, tag = "7")]
    pub(crate) instance: String,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum PeerMessageKind {
    /// A newer table of leads.
    Table = 0,
    /// The sender misses a primary.
    Vote = 1,
    /// The sender reaches a primary that the receiver misses.
    Reaches = 2,
    /// Asks the receiver to stop using a primary.
    Stop = 3,
    /// The sender has stopped.
    Stopped = 4,
}
