//! A proxy for TCP and UDP that injects faults, for tests and measurements.
//!
//! A route listens at one address and passes on to another. Each of its two directions has faults
//! of its own, which may be changed while connections are open, by [`FaultProxy`]'s methods or by
//! lines on a control port. Random choices come from a seed. See docs/notes/fault-proxy.md.

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
