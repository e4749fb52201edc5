//! A platform as a whole.

use super::caller::CallerCodec;
use super::directory::Directory;
use super::promotion::PromotionCall;
use super::store::Store;
use super::upstream::UpstreamCodec;

/// The protocols of one platform.
pub trait Platform: std::fmt::Debug + 'static {
    /// What callers speak.
    type Callers: CallerCodec;
    /// What upstreams speak.
    type Upstreams: UpstreamCodec;
    /// Where what must last is kept.
    type Store: Store;
    /// How documents in the store read.
    type Directory: Directory;
    /// How an instance is made primary.
    type Promotion: PromotionCall;
}

/// Bytes that are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The message is longer than the protocol allows.
    #[error("the message is longer than the protocol allows")]
    TooLong,
    /// The message has no known kind, or a field is missing.
    #[error("the message can't be read")]
    Unreadable,
}
