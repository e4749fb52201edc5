//! Processes of `jujubehold entry` that drain while instances take as long as their time limits allow.

mod answers;
mod caller;
mod installation;
mod restarted_owner;
mod soak;
