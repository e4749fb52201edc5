//! The names of the metrics, which docs/OPERATIONS.md describes.

/// Requests that were refused, by `service` and `reason`.
pub(crate) const REFUSALS: &str = "jujubehold_refusals_total";
/// Requests that the host retried itself, by `service` and `reason`.
pub(crate) const RETRIES: &str = "jujubehold_retries_total";
/// Requests for which it is not known whether they ran, by `service` and `reason`.
pub(crate) const UNKNOWNS: &str = "jujubehold_unknown_total";
/// Reads that were answered, by `service` and the `role` of the instance: primary or replica.
pub(crate) const READS: &str = "jujubehold_reads_total";
/// Writes and commits that were acknowledged, by `service`.
pub(crate) const WRITES: &str = "jujubehold_writes_total";
/// Seconds from a statement's arrival to its answer, by `service` and `path`.
pub(crate) const STATEMENT_SECONDS: &str = "jujubehold_statement_seconds";
/// Seconds that requests waited, by `service` and what they waited `for`.
pub(crate) const WAIT_SECONDS: &str = "jujubehold_wait_seconds";
/// Open sessions of callers.
pub(crate) const SESSIONS: &str = "jujubehold_sessions";
/// Upstream connections that were opened, by `service` and `instance`.
pub(crate) const UPSTREAM_OPENS: &str = "jujubehold_upstream_opens_total";
/// Commands that were sent ahead of statements to set up a session on a connection, by `command`:
/// set, prepare or reset.
pub(crate) const SESSION_SETUP_COMMANDS: &str = "jujubehold_session_setup_commands_total";
/// Statements ahead of which the instance rejected a command that set up the session.
pub(crate) const SESSION_SETUP_ERRORS: &str = "jujubehold_session_setup_errors_total";
/// Attempts to open an upstream connection, by `purpose` and `outcome`.
pub(crate) const UPSTREAM_OPEN_ATTEMPTS: &str = "jujubehold_upstream_open_attempts_total";
/// Datagrams sent to other hosts, by `kind`.
pub(crate) const DATAGRAMS_SENT: &str = "jujubehold_datagrams_sent_total";
/// Bytes of the datagrams sent to other hosts, by `kind`.
pub(crate) const DATAGRAM_BYTES_SENT: &str = "jujubehold_datagram_bytes_sent_total";
/// Calls to the platform's store, by `call` and `outcome`.
pub(crate) const STORE_CALLS: &str = "jujubehold_store_calls_total";
/// Bytes of listings and changes that the platform's store sent, by `call`.
pub(crate) const STORE_RECEIVED_BYTES: &str = "jujubehold_store_received_bytes_total";
/// Changes of primary that this host made, by `service` and `outcome`.
pub(crate) const PRIMARY_CHANGES: &str = "jujubehold_primary_changes_total";
/// Log lines that were left out because the budget per second was exceeded.
pub(crate) const LOG_LINES_LEFT_OUT: &str = "jujubehold_log_lines_left_out_total";
/// Requests for tokens of customers that this host made, by whom they went `to`.
pub(crate) const QUOTA_REQUESTS: &str = "jujubehold_quota_requests_total";
/// Tokens of customers that this host granted.
pub(crate) const QUOTA_TOKENS: &str = "jujubehold_quota_tokens_total";
/// Questions to another host for changes of the directory, by `outcome`: answered or failed.
pub(crate) const DIRECTORY_CHANGES_FETCHED: &str = "jujubehold_directory_changes_fetched_total";
/// How often this host asked for changes of the directory, by `reason`: `no_source`, `changes`,
/// `unconfirmed` or `restored`.
pub(crate) const DIRECTORY_FOLLOWED: &str = "jujubehold_directory_followed_total";
/// Seconds since the store certainly had no change of the directory that this host lacks.
pub(crate) const DIRECTORY_AGE_SECONDS: &str = "jujubehold_directory_age_seconds";
/// Rounds of requests for the shares of the quotas that this host made as a keeper.
pub(crate) const QUOTA_SHARE_REQUESTS: &str = "jujubehold_quota_share_requests_total";
/// How often this host gave up shares of the quotas that it kept.
pub(crate) const QUOTA_RELEASES: &str = "jujubehold_quota_releases_total";
/// Leases of connections at other hosts, by this host's `role`: `caller_host` or `owner`.
pub(crate) const OWNER_LEASES: &str = "jujubehold_owner_leases_total";
/// Statements that this host refused as an owner, by `reason`.
pub(crate) const OWNER_REFUSALS: &str = "jujubehold_owner_refusals_total";
/// Statements that this host sent elsewhere because an owner did not take them, by `reason`.
pub(crate) const OWNER_RETRIES: &str = "jujubehold_owner_retries_total";
/// Links that this host opened to owners.
pub(crate) const PEER_LINK_OPENS: &str = "jujubehold_peer_link_opens_total";
/// Bytes on links between hosts, by `direction`: sent or received.
pub(crate) const PEER_LINK_BYTES: &str = "jujubehold_peer_link_bytes_total";
