//! The datagrams that hosts exchange.

use std::time::Duration;

use jujubehold_core::acknowledged_commits::AcknowledgedCommits;
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::quota::CountedHosts;

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
    /// What the datagram says about the sender's or the receiver's share of the quotas.
    #[prost(message, optional, tag = "21")]
    pub(crate) share: Option<ShareMessage>,
    /// The newest count of the hosts that the sender knows.
    #[prost(message, optional, tag = "22")]
    pub(crate) counted_hosts: Option<CountedHostsMessage>,
    /// Changes of the directory that are asked for or handed on.
    #[prost(message, optional, tag = "23")]
    pub(crate) directory_changes: Option<DirectoryChangesMessage>,
    /// The era of the store in which the sender's table of leads was written; 0 in earlier versions.
    #[prost(uint64, tag = "24")]
    pub(crate) table_era: u64,
    /// The era of the store to which the sender's list of hosts and its read belong; 0 in earlier
    /// versions.
    #[prost(uint64, tag = "25")]
    pub(crate) hosts_era: u64,
    /// What the sender has acknowledged of the service whose primary it stopped using; absent in
    /// earlier versions.
    #[prost(message, optional, tag = "26")]
    pub(crate) acknowledged: Option<AcknowledgedMessage>,
}

/// What a process has acknowledged of one service.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct AcknowledgedMessage {
    /// The process.
    #[prost(uint64, tag = "1")]
    pub(crate) process: u64,
    /// The term of the newest position at which it acknowledged a commit.
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    /// That position.
    #[prost(uint64, tag = "3")]
    pub(crate) position: u64,
}

impl From<AcknowledgedMessage> for AcknowledgedCommits {
    fn from(message: AcknowledgedMessage) -> Self {
        Self {
            process: message.process,
            newest: LogPosition {
                term: message.term,
                position: message.position,
            },
        }
    }
}

/// Changes of the directory.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct DirectoryChangesMessage {
    /// The store's revision after which changes are asked for or handed on.
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    /// The revision up to which all changes are handed on; 0 if the host does not know them.
    #[prost(uint64, tag = "2")]
    pub(crate) reached: u64,
    /// The changes in their order.
    #[prost(message, repeated, tag = "3")]
    pub(crate) changes: Vec<DirectoryChangeMessage>,
    /// The era of the store to which the revisions of an answer belong.
    #[prost(uint64, tag = "4")]
    pub(crate) era: u64,
    /// How long ago the store certainly had no change that the answering host lacks, in microseconds;
    /// absent in questions and in answers of earlier versions.
    #[prost(uint64, optional, tag = "5")]
    pub(crate) confirmed_age_us: Option<u64>,
}

/// One change of the directory.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct DirectoryChangeMessage {
    /// The key of the item.
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// The revision of the change.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// The new value; absent if the item was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub(crate) value: Option<Vec<u8>>,
}

/// A request to lease a share of the quotas, its answer, or a release of leased shares.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct ShareMessage {
    /// The process of the keeper.
    #[prost(uint64, tag = "1")]
    pub(crate) process: u64,
    /// The number of the request.
    #[prost(uint64, tag = "2")]
    pub(crate) number: u64,
    /// The partitions that are requested, leased or given up, as bits.
    #[prost(uint32, tag = "3")]
    pub(crate) partitions: u32,
    /// The partitions that are leased with a start credit, as bits.
    #[prost(uint32, tag = "6")]
    pub(crate) credited: u32,
    /// When the share can be leased for the partitions that were refused, in microseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) next_in_us: u64,
    /// Whether the keeper that gives up shares is leaving.
    #[prost(bool, tag = "5")]
    pub(crate) is_leaving: bool,
}

/// A count of the hosts as sent to another host.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct CountedHostsMessage {
    /// The number of hosts whose names are recorded.
    #[prost(uint32, tag = "1")]
    pub(crate) hosts: u32,
    /// The time since the count was requested from the store, in microseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) age_us: u64,
}

impl From<CountedHosts> for CountedHostsMessage {
    fn from(counted: CountedHosts) -> Self {
        Self {
            hosts: counted.hosts,
            age_us: u64::try_from(counted.age.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl From<CountedHostsMessage> for CountedHosts {
    fn from(message: CountedHostsMessage) -> Self {
        Self {
            hosts: message.hosts,
            age: Duration::from_micros(message.age_us),
        }
    }
}

/// A request for tokens of a customer, or its answer.
// The numbers 5, 8 and 12 had other meanings in earlier versions and are not used again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct QuotaMessage {
    /// The customer.
    #[prost(string, tag = "1")]
    pub(crate) customer: String,
    /// The number of the request.
    #[prost(uint64, tag = "2")]
    pub(crate) number: u64,
    /// How many tokens are requested or granted.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// How many operations the requesting host has refused since its previous request.
    #[prost(uint32, tag = "4")]
    pub(crate) refused: u32,
    /// If the host that answers holds no share, the keeper of its failure domain; empty if it is
    /// not known.
    #[prost(string, optional, tag = "7")]
    pub(crate) keeper: Option<String>,
    /// The time until the next token is due, in microseconds.
    #[prost(uint64, tag = "9")]
    pub(crate) next_in_us: u64,
    /// The time in which one more token becomes due, in microseconds.
    #[prost(uint64, tag = "10")]
    pub(crate) interval_us: u64,
    /// The time after which the next refused caller should retry, in microseconds.
    #[prost(uint64, tag = "11")]
    pub(crate) retry_in_us: u64,
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
    /// The era of the store to which both revisions belong.
    #[prost(uint64, tag = "3")]
    pub(crate) era: u64,
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
    // 9 and 10 had other meanings in earlier versions and are not used again.
    /// Requests the receiver's share of the quotas.
    ShareRequest = 11,
    /// Answers a request for a share.
    ShareAnswer = 12,
    /// Gives up shares.
    ShareRelease = 13,
    /// Asks for the changes of the directory after a revision.
    DirectoryQuestion = 14,
    /// Hands on changes of the directory.
    DirectoryChanges = 15,
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
            Self::ShareRequest => "share_request",
            Self::ShareAnswer => "share_answer",
            Self::ShareRelease => "share_release",
            Self::DirectoryQuestion => "directory_question",
            Self::DirectoryChanges => "directory_changes",
        }
    }
}
