//! Callers, reads, writes and transactions against stand-in instances.
//!
//! The control thread is left out: the tests publish the routing table themselves, so that they
//! can show a host what is no longer true.

mod cancel;
mod extended;
mod malformed;
mod named;
mod overload;
mod pools;
mod reads;
mod session_state;
mod support;
mod transactions;
mod writes;
