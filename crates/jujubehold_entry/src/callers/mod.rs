//! Callers' sessions: accepting connections and running statements and transactions.

mod attempt;
mod caller_io;
mod candidates;
mod failure;
mod identity;
mod kept_bytes;
mod listener;
mod operation;
mod prepared;
mod primary_use;
mod session;
mod single;
mod transaction;

pub(crate) use attempt::run_on;
pub(crate) use kept_bytes::{HostBytes, host_bytes};
pub(crate) use listener::accept_callers;
