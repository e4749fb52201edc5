//! The secret that identifies a caller.

use std::fmt;

use smol_str::SmolStr;

/// A caller's key. It can't be displayed, so that no log line, error or metric contains one.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerKey(SmolStr);

impl CallerKey {
    /// Creates a key from its text; `None` if the text is empty.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(text.into()))
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}
