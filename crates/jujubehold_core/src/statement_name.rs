//! The names of prepared statements on connections to upstreams.

use smol_str::{SmolStr, format_smolstr};

use crate::request_name::digest;

/// How many hexadecimal digits of the digest a name contains. A collision would run another caller's
/// statement, and `PostgreSQL` cuts names off after 63 bytes.
const DIGEST_DIGITS: usize = 48;

/// The name of a prepared statement, which is derived from its whole content.
///
/// So it means the same statement on every connection, for every session, host and version, whoever
/// prepared it. It has a fixed length and consists of letters and digits alone, whatever the content
/// is. It can only be made from a content, so no text of a caller can take its place in a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatementName(SmolStr);

impl StatementName {
    /// Returns the name of the statement that consists of `parts`.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let digest = digest(parts);
        Self(format_smolstr!("jb{}", &digest[..DIGEST_DIGITS]))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
