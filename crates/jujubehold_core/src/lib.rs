//! The decision logic of jujubehold, free of I/O.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or draws a random number.
//! Callers pass in events with a time and execute the actions that are returned, so the daemon, the
//! replay tool, the experiments and the exploration tests all run the same code. See
//! docs/ARCHITECTURE.md.

pub mod acknowledgement;
pub mod admission;
pub mod authority;
pub mod backoff;
pub mod call_gate;
pub mod candidate_choice;
pub mod config_store;
pub mod config_version;
pub mod connection_limit;
pub mod connection_purpose;
pub mod connection_queue;
pub mod connection_share;
pub mod directory_progress;
pub mod drain;
pub mod evidence_schedule;
pub mod failover;
pub mod failover_action;
pub mod failover_event;
pub mod first_records;
pub mod floor;
pub mod former_members;
pub mod frame_order;
pub mod group_view;
pub mod history_limit;
pub mod host_history;
pub mod ids;
pub mod instance_status;
pub mod lead_proof;
pub mod lead_table;
pub mod lease;
pub mod log_position;
mod macros;
pub mod membership;
pub mod outcome;
pub mod ownership;
pub mod position_demand;
pub mod prelude;
pub mod primary_positions;
pub mod primary_votes;
pub mod primary_watchers;
pub mod proof_sharing;
pub mod quota;
pub mod read_attempts;
pub mod read_candidates;
pub mod read_floor;
pub mod read_placement;
pub mod read_policy;
pub mod refusal_reason;
pub mod relay_tree;
pub mod replay;
pub mod replica_evidence;
pub mod replica_lag;
pub mod request_name;
pub mod retry_budget;
pub mod retry_reason;
pub mod route;
pub mod service_config;
pub mod session_floor;
pub mod session_token;
pub mod silence;
pub mod silent_hosts;
pub mod stall_detector;
pub mod statement;
pub mod stop_wait;
pub mod term_history;
pub mod transfer_timeout;
pub mod upstream_health;
pub mod use_interval;
pub mod verdict;
pub mod vote_budget;
pub mod wait_policy;
pub mod watch_pace;
