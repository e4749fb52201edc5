//! The names of the metrics that traffic counts; docs/OPERATIONS.md says what each means.

/// Requests that were refused, by `service` and `reason`.
pub const REFUSALS: &str = "jujubehold_refusals_total";
/// Requests that were tried again inside the proxy, by `service` and `reason`.
pub const RETRIES: &str = "jujubehold_retries_total";
/// Requests of which it can't be known whether they ran, by `service` and `reason`.
pub const UNKNOWNS: &str = "jujubehold_unknown_total";
/// Reads that were answered, by `service` and the `role` of the instance: primary or replica.
pub const READS: &str = "jujubehold_reads_total";
/// Writes and commits that were acknowledged, by `service`.
pub const WRITES: &str = "jujubehold_writes_total";
/// Named requests that were answered from their record, by `service`.
pub const ALREADY_RAN: &str = "jujubehold_already_ran_total";
/// Seconds from a statement's arrival to its answer, by `service` and `path`: read or write.
pub const STATEMENT_SECONDS: &str = "jujubehold_statement_seconds";
/// Seconds from a commit's answer to its acknowledgement, by `service`.
pub const CONFIRM_SECONDS: &str = "jujubehold_confirm_seconds";
/// Seconds that a request waited, by `service` and what it waited `for`: slot or connection.
pub const WAIT_SECONDS: &str = "jujubehold_wait_seconds";
/// Sessions of callers that are open.
pub const SESSIONS: &str = "jujubehold_sessions";
/// Upstream connections that were opened, by `service` and `instance`.
pub const UPSTREAM_OPENS: &str = "jujubehold_upstream_opens_total";
