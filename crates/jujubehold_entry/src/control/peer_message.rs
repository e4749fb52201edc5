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
    /// The number of the question that is asked or answered.
    #[prost(uint64, tag = "8")]
    pub(crate) question: u64,
    /// The sender's newest read of the store.
    #[prost(message, optional, tag = "9")]
    pub(crate) read: Option<ReadMessage>,
    /// The newest positions of the primaries that the sender knows.
    #[prost(message, repeated, tag = "10")]
    pub(crate) marks: Vec<MarkMessage>,
    /// The digest of the hosts that the sender knows.
    #[prost(uint64, tag = "11")]
    pub(crate) hosts_digest: u64,
    /// Those hosts, where the receiver knows other ones.
    #[prost(message, optional, tag = "12")]
    pub(crate) hosts: Option<HostsMessage>,
}

/// The list of hosts, as told to another host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct HostsMessage {
    /// The store's revision that the list is of.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    /// The hosts.
    #[prost(message, repeated, tag = "2")]
    pub(crate) hosts: Vec<HostMessage>,
}

/// One host's entry, as told to another host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct HostMessage {
    /// The host.
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    /// The value of its entry in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) entry: Vec<u8>,
    /// The store's revision of its entry.
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
}

/// One host's read of the store, as told to another.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct ReadMessage {
    /// How long ago it was asked for, in microseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) age_us: u64,
    /// The store's revision that it is of.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

/// A primary's position, as told to another host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct MarkMessage {
    /// The service that it leads.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    /// Its position in the log.
    #[prost(uint64, tag = "3")]
    pub(crate) position: u64,
    /// How long ago it was asked for, in microseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) age_us: u64,
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
    /// Asks for the receiver's newest read of the store.
    ProofQuestion = 5,
    /// Answers that.
    Proof = 6,
}
