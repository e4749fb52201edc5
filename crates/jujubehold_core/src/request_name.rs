//! Names that callers give to writes, so that a retried write runs at most once.
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

/// Distinguishes requests that use the same name: a SHA-256 hash in hexadecimal digits.
pub type RequestDigest = SmolStr;

value_type! {
    /// The entry of a name in the outcome table.
    pub struct OutcomeRecord {
        /// The digest of the request that committed under the name.
        pub digest: RequestDigest,
        /// The command tag of the request's answer.
        pub tag: SmolStr,
    }

    /// How a record relates to a request with the record's name.
    pub enum RecordJudgement {
        /// The same request ran, and its answer had this command tag.
        SameRequest(SmolStr),
        /// A different request ran under the name; this one must neither run nor be answered from
        /// the record.
        AnotherRequest,
    }
}

/// Parses a name as the caller wrote it; returns `None` if it is empty, too long or not plain.
///
/// A name is plain if it consists of printable ASCII characters other than spaces, quotes and
/// backslashes, so that it reads the same in SQL, in logs and in every caller's tools.
pub fn parse_name(text: &str) -> Option<RequestName> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'\'' | b'"' | b'\\'));
    let has_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    (is_plain && has_length).then(|| text.into())
}

/// Computes the digest of a request from its parts: texts, and parameters as they were sent.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestDigest {
    let mut hash = Sha256::new();
    for part in parts {
        // The length distinguishes requests that split the same bytes into different parts.
        hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hash.update(part);
    }
    let mut text = String::new();
    for byte in hash.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

/// Compares a record with the digest of the current request.
pub fn judge_record(record: &OutcomeRecord, digest: &str) -> RecordJudgement {
    if record.digest == digest {
        RecordJudgement::SameRequest(record.tag.clone())
    } else {
        RecordJudgement::AnotherRequest
    }
}
