//! The set of protocols of one platform.

use super::caller::CallerCodec;
use super::directory::Directory;
use super::promotion::PromotionCall;
use super::store::Store;
use super::upstream::UpstreamCodec;

/// The protocols of one platform.
pub trait Platform: std::fmt::Debug + 'static {
    /// The protocol of callers.
    type Callers: CallerCodec;
    /// The protocol of upstreams.
    type Upstreams: UpstreamCodec;
    /// The store for persistent data.
    type Store: Store;
    /// The formats of the documents in the store.
    type Directory: Directory;
    /// The call that promotes an instance to primary.
    type Promotion: PromotionCall;
}

/// Why bytes are not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The message is longer than the protocol allows.
    #[error("the message is longer than the protocol allows")]
    TooLong,
    /// The message is of no known kind, or a field is missing.
    #[error("the message can't be read")]
    Unreadable,
}
