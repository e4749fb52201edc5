//! A proxy for TCP and UDP that injects faults, for tests and measurements.
//!
//! A route listens at one address and forwards to another. Each of its two directions has its own
//! faults, which can be changed while connections are open, either with the methods of
//! [`FaultProxy`] or with commands on a control port. Random choices are derived from a seed. See
//! docs/notes/fault-proxy.md.

mod control;
mod direction;
mod link_faults;
mod proxy;
mod route;
mod settings;
mod tcp;
mod tcp_pump;
mod udp;

pub use direction::{Direction, Protocol};
pub use link_faults::{FaultError, LinkFaults};
pub use proxy::{FaultProxy, run_faults};
pub use settings::{FaultSettings, RouteSettings};
