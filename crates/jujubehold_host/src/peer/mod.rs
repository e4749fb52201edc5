//! The protocol between hosts: control calls and the lending of upstream connections.

mod borrowed_connection;
mod digest;
mod forward_server;
mod messages;
mod owner_silences;
mod peer_clients;
mod peer_connector;
mod peer_server;

pub use borrowed_connection::{BorrowedConnection, ForwardError, ForwardTarget};
pub use peer_clients::PeerTarget;
pub use peer_connector::PeerConnector;
pub use peer_server::peer_incoming;

pub(crate) use digest::{Digests, bucket_of};
pub(crate) use messages::{host_message, member_of};
pub(crate) use peer_clients::{PeerClients, count_sent};
pub(crate) use peer_server::serve_peers;
