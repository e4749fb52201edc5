//! The control thread.

mod action_runner;
mod configuration;
mod control_event;
mod control_loop;
mod exchange;
mod group_driver;
mod groups;
mod hosts;
mod instance_caller;
mod instance_reply;
mod notifications;
mod publishing;
mod restore_queue;
mod spreading;

pub use control_event::{ControlEvent, ControlReceiver, ControlSender};
pub use control_loop::{Control, ControlParts};
