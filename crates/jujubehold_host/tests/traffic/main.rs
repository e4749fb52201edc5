//! Tests callers, reads, writes and transactions against stand-in instances.
//!
//! There is no control thread: the tests publish the routing table themselves, so that they can
//! give a host outdated information.

mod cancel;
mod extended;
mod malformed;
mod named;
mod overload;
mod owners;
mod pools;
mod raw_caller;
mod reads;
mod session_state;
mod statement_comparison;
mod statement_failures;
mod statement_names;
mod support;
mod transactions;
mod writes;
