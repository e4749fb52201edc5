//! What the entry host needs of the protocols around it.
//!
//! Each trait is met at compile time by an adapter, which decodes a message once into the types
//! here and decides nothing. See docs/notes/platform-path.md.

mod caller;
mod directory;
mod error_code;
mod platform;
mod promotion;
mod store;
mod upstream;

pub use caller::{CallerCodec, CallerMessage, CallerRequest, RequestKind, SessionState};
pub use directory::{
    Configuration, Directory, InstanceEntry, InstanceLifecycle, Route, ServiceLimits,
};
pub use error_code::ErrorCode;
pub use platform::{MalformedMessage, Platform};
pub use promotion::{PromotionCall, PromotionOrder, PromotionOutcome};
pub use store::{
    Committed, ItemChange, LeaseId, Store, StoreChange, StoreError, StoreItem, StoreListing,
};
pub use upstream::{
    Access, StatusReport, UpstreamCodec, UpstreamCommand, UpstreamOutcome, UpstreamReply,
};
