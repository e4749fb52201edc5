//! The name that a caller gives to a write, so that asking again runs it once at the most.
//!
//! See docs/notes/outcomes.md.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::value_type;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A caller's name for its next write.
pub type RequestName = SmolStr;

/// What tells one statement from another under the same name, in hexadecimal digits.
pub type RequestDigest = SmolStr;

value_type! {
    /// What the outcome table holds of a name.
    pub struct OutcomeRecord {
        /// The digest of the request that committed under it.
        pub digest: RequestDigest,
        /// The command tag of its answer.
        pub tag: SmolStr,
    }

    /// What a record says of a request that is asked again.
    pub enum RecordJudgement {
        /// The same request ran, and had this command tag.
        SameRequest(SmolStr),
        /// Another request ran under the name; this one must neither run nor be answered from it.
        AnotherRequest,
    }
}

/// Takes a name as a caller wrote it; `None` when it is empty, too long or not plain.
///
/// A name is plain when it holds printable ASCII other than quotes and backslashes, so that it
/// reads the same in SQL, logs and every client.
pub fn parse_name(text: &str) -> Option<RequestName> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'\'' | b'"' | b'\\'));
    let has_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    (is_plain && has_length).then(|| text.into())
}

/// The digest of a request by its parts: texts, and parameters as they were sent.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestDigest {
    let mut hash = Sha256::new();
    for part in parts {
        // The length keeps two requests apart whose parts are cut in different places.
        hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hash.update(part);
    }
    let mut text = String::new();
    for byte in hash.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

/// Holds a record against the digest of the request that asks now.
pub fn judge_record(record: &OutcomeRecord, digest: &str) -> RecordJudgement {
    if record.digest == digest {
        RecordJudgement::SameRequest(record.tag.clone())
    } else {
        RecordJudgement::AnotherRequest
    }
}
