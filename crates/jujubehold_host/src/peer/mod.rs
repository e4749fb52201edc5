//! The protocol between hosts.

mod digest;
mod forward_server;
mod forwarded_lane;
mod messages;
mod peer_clients;
mod peer_connector;
mod peer_server;

pub use forwarded_lane::{ForwardError, ForwardTarget, ForwardedLane};
pub use peer_clients::PeerTarget;
pub use peer_connector::PeerConnector;
pub use peer_server::peer_incoming;

pub(crate) use digest::{Digests, bucket_of};
pub(crate) use messages::{host_message, member_of};
pub(crate) use peer_clients::{PeerClients, count_sent};
pub(crate) use peer_server::serve_peers;
