//! The interfaces through which the entry host uses a platform's protocols.
//!
//! An adapter implements each trait and is selected at compile time. It decodes each message once
//! into the types of this module and makes no decisions. See docs/notes/platform-path.md.

mod call_progress;
mod caller;
mod caller_key;
mod customers;
mod directory;
mod error_code;
mod field;
mod platform;
mod promotion;
mod store;
mod upstream;

pub use call_progress::CallProgress;
pub use caller::{CallerCodec, CallerMessage, CallerRequest, RequestKind, SessionState};
pub use caller_key::CallerKey;
pub use customers::{Customer, Customers, InvalidCustomers};
pub use directory::{
    Configuration, Directory, InstanceEntry, InstanceLifecycle, InvalidConfiguration, Route,
    ServiceLimits,
};
pub use error_code::ErrorCode;
pub use field::{
    HOST_COMMAND_ID, LastField, MAX_LAST_FIELD_BYTES, MAX_WORD_BYTES, PreparedStatement,
    StatementId, Word,
};
pub use platform::{MalformedMessage, Platform};
pub use promotion::{PromotionCall, PromotionOrder, PromotionOutcome};
pub use store::{
    CommitOutcome, ItemChange, LeaseId, Store, StoreChange, StoreError, StoreItem, StoreListing,
};
pub use upstream::{
    Access, StatusReport, UpstreamCodec, UpstreamCommand, UpstreamOutcome, UpstreamReply,
};
