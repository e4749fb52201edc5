//! The names of the metrics of the traffic threads; docs/OPERATIONS.md explains each metric.

/// The number of refused requests, by `service` and `reason`.
pub const REFUSALS: &str = "jujubehold_refusals_total";
/// The number of retries inside the proxy, by `service` and `reason`.
pub const RETRIES: &str = "jujubehold_retries_total";
/// The number of requests with an unknown outcome, by `service` and `reason`.
pub const UNKNOWNS: &str = "jujubehold_unknown_total";
/// The number of answered reads, by `service` and the `role` of the instance: primary or replica.
pub const READS: &str = "jujubehold_reads_total";
/// The number of acknowledged writes and commits, by `service`.
pub const WRITES: &str = "jujubehold_writes_total";
/// The number of named requests that were answered from their record, by `service`.
pub const ALREADY_RAN: &str = "jujubehold_already_ran_total";
/// The time from a statement's arrival to its answer, in seconds, by `service` and `path`: read or
/// write.
pub const STATEMENT_SECONDS: &str = "jujubehold_statement_seconds";
/// The time from a commit's answer to its acknowledgement, in seconds, by `service`.
pub const CONFIRM_SECONDS: &str = "jujubehold_confirm_seconds";
/// The time that a request waited, in seconds, by `service` and `for`, the resource that it
/// waited for: slot or connection.
pub const WAIT_SECONDS: &str = "jujubehold_wait_seconds";
/// The number of open caller sessions.
pub const SESSIONS: &str = "jujubehold_sessions";
/// The number of upstream connections that were opened, by `service` and `instance`.
pub const UPSTREAM_OPENS: &str = "jujubehold_upstream_opens_total";
