//! The control thread.

mod control_loop;
mod probe;

pub use control_loop::Control;
