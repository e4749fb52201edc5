//! The control thread, which owns the control state and publishes the routing table.

mod action_runner;
mod configuration;
mod control_event;
mod control_loop;
mod exchange;
mod group_driver;
mod groups;
mod hosts;
mod instance_client;
mod instance_reply;
mod notifications;
mod publishing;
mod relaying;
mod restore_queue;

pub use control_event::{ControlEvent, ControlReceiver, ControlSender};
pub use control_loop::{Control, ControlParts};
