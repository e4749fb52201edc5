//! The secret that identifies a caller.

use std::fmt;

use smol_str::SmolStr;

/// The maximum length of a key. A session keeps its caller's key, also one that no customer has, so
/// this bounds what a caller can make the host keep.
const MAX_KEY_BYTES: usize = 1_024;

/// A caller's key. It can't be displayed, so that no log line, error or metric contains one.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerKey(SmolStr);

impl CallerKey {
    /// Creates a key from its text; `None` if the text is empty or longer than 1,024 bytes.
    pub fn new(text: &str) -> Option<Self> {
        (1..=MAX_KEY_BYTES)
            .contains(&text.len())
            .then(|| Self(text.into()))
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}
