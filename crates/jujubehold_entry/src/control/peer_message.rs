//! The datagrams that hosts exchange.

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PeerMessage {
    /// The host that sent it.
    #[prost(string, tag = "1")]
    pub(crate) from: String,
    /// The purpose of the datagram, a [`PeerMessageKind`].
    #[prost(enumeration = "PeerMessageKind", tag = "2")]
    pub(crate) kind: i32,
    /// The revision of the sender's table of leads.
    #[prost(uint64, tag = "3")]
    pub(crate) table_revision: u64,
    /// That table, if the receiver may not have it.
    #[prost(bytes = "vec", optional, tag = "4")]
    pub(crate) table: Option<Vec<u8>>,
    /// The revision of the announced change that a stop request or its answer refers to.
    #[prost(uint64, tag = "5")]
    pub(crate) announcement: u64,
    /// The service that the datagram concerns.
    #[prost(string, tag = "6")]
    pub(crate) service: String,
    /// The instance that the datagram concerns.
    #[prost(string, tag = "7")]
    pub(crate) instance: String,
    /// The number of the proof question that is asked or answered.
    #[prost(uint64, tag = "8")]
    pub(crate) question: u64,
    /// The sender's latest read of the store.
    #[prost(message, optional, tag = "9")]
    pub(crate) read: Option<ReadMessage>,
    /// The latest positions of the primaries that the sender knows.
    #[prost(message, repeated, tag = "10")]
    pub(crate) positions: Vec<PositionMessage>,
    /// The digest of the list of hosts that the sender knows.
    #[prost(uint64, tag = "11")]
    pub(crate) hosts_digest: u64,
    /// That list or its changes, if the receiver's digest differs.
    #[prost(message, optional, tag = "12")]
    pub(crate) hosts: Option<HostsMessage>,
    /// The store's revision as of which the sender knows the list of hosts.
    #[prost(uint64, tag = "13")]
    pub(crate) hosts_revision: u64,
    /// How far the sender knows the changes of the directory.
    #[prost(message, optional, tag = "14")]
    pub(crate) directory: Option<DirectoryMessage>,
    /// Hosts that were listed recently and are no longer.
    #[prost(message, repeated, tag = "15")]
    pub(crate) departed: Vec<DepartedHostMessage>,
    /// Whether a proof question names the services whose positions are asked for; otherwise all are.
    #[prost(bool, tag = "16")]
    pub(crate) names_services: bool,
    /// These services.
    #[prost(string, repeated, tag = "17")]
    pub(crate) wanted_services: Vec<String>,
    /// The sender's round of votes.
    #[prost(uint64, tag = "18")]
    pub(crate) vote_round: u64,
    /// What the datagram says about a customer's quota.
    #[prost(message, optional, tag = "19")]
    pub(crate) quota: Option<QuotaMessage>,
    /// Whether the sender knows every host that may still use a primary: each is in the list with
    /// the digest or in `departed`.
    #[prost(bool, tag = "20")]
    pub(crate) knows_all_hosts: bool,
}

/// A request for tokens of a customer, its answer, or the handover of the customer's bucket.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct QuotaMessage {
    /// The customer.
    #[prost(string, tag = "1")]
    pub(crate) customer: String,
    /// The number of the request or of the handover.
    #[prost(uint64, tag = "2")]
    pub(crate) number: u64,
    /// How many tokens are requested, granted or handed over.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// How many operations the requesting host has refused since its previous request.
    #[prost(uint32, tag = "4")]
    pub(crate) refused: u32,
    /// Whether the request is meant for a backup.
    #[prost(bool, tag = "5")]
    pub(crate) is_for_backup: bool,
    /// If the host that answers does not grant for the customer, the host that does; empty if it is
    /// not known.
    #[prost(string, optional, tag = "7")]
    pub(crate) grantor: Option<String>,
    /// Whether the tokens are from the customer's bucket, not from a backup bucket.
    #[prost(bool, tag = "8")]
    pub(crate) is_full: bool,
    /// The time until the next token is due, in microseconds.
    #[prost(uint64, tag = "9")]
    pub(crate) next_in_us: u64,
    /// The time in which one more token becomes due, in microseconds.
    #[prost(uint64, tag = "10")]
    pub(crate) interval_us: u64,
    /// The time after which the next refused caller should retry, in microseconds.
    #[prost(uint64, tag = "11")]
    pub(crate) retry_in_us: u64,
    /// Whether the host that hands over the bucket is leaving.
    #[prost(bool, tag = "12")]
    pub(crate) is_leaving: bool,
}

/// How far a host knows the changes of the directory.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct DirectoryMessage {
    /// The store's revision up to which it knows all changes.
    #[prost(uint64, tag = "1")]
    pub(crate) reached: u64,
    /// The revision of the newest of these changes.
    #[prost(uint64, tag = "2")]
    pub(crate) changed: u64,
}

/// A host that is no longer listed, and that may still use a primary.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct DepartedHostMessage {
    /// The host.
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    /// The value that its entry had in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) entry: Vec<u8>,
    /// The time since it was last known to be listed, in microseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) age_us: u64,
}

/// The list of hosts as sent to another host, or the changes of the list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct HostsMessage {
    /// The store's revision as of which the list holds.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    /// The hosts.
    #[prost(message, repeated, tag = "2")]
    pub(crate) hosts: Vec<HostMessage>,
    /// The revision of the list to which the changes apply; 0 for a whole list.
    #[prost(uint64, tag = "3")]
    pub(crate) base_revision: u64,
    /// The hosts that were removed since then.
    #[prost(message, repeated, tag = "4")]
    pub(crate) removed: Vec<RemovedHostMessage>,
}

/// A removal from the list of hosts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct RemovedHostMessage {
    /// The host.
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    /// The store's revision at which it was no longer listed.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

/// One host's entry as sent to another host.
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

/// One host's read of the store as sent to another host.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct ReadMessage {
    /// The time since the read was sent to the store, in microseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) age_us: u64,
    /// The store's revision as of which the read holds.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

/// A primary's position as sent to another host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct PositionMessage {
    /// The primary's service.
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    /// Its position in the log.
    #[prost(uint64, tag = "3")]
    pub(crate) position: u64,
    /// The time since the primary was asked, in microseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) age_us: u64,
}

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum PeerMessageKind {
    /// Sends a newer table of leads.
    Table = 0,
    /// The sender gets no answer from a primary.
    Vote = 1,
    /// The sender reaches a primary that the receiver does not.
    Reaches = 2,
    /// Asks the receiver to stop using a primary.
    Stop = 3,
    /// The sender has stopped using the primary.
    Stopped = 4,
    /// Asks for the receiver's latest read of the store.
    ProofQuestion = 5,
    /// Answers a proof question.
    Proof = 6,
    /// Requests tokens of a customer.
    TokenRequest = 7,
    /// Answers a request for tokens.
    TokenAnswer = 8,
    /// Hands over a customer's bucket.
    BucketHandover = 9,
    /// Confirms a handover.
    HandoverConfirmed = 10,
}

impl PeerMessageKind {
    /// Returns the kind's name in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Vote => "vote",
            Self::Reaches => "reaches",
            Self::Stop => "stop",
            Self::Stopped => "stopped",
            Self::ProofQuestion => "proof_question",
            Self::Proof => "proof",
            Self::TokenRequest => "token_request",
            Self::TokenAnswer => "token_answer",
            Self::BucketHandover => "bucket_handover",
            Self::HandoverConfirmed => "handover_confirmed",
        }
    }
}
