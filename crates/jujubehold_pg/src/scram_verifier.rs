//! The verifier that is stored instead of a password.

use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::scram_error::ScramError;

/// The length of an HMAC-SHA-256, and so of each key and proof.
pub(crate) const KEY_BYTES: usize = 32;
const VERIFIER_PREFIX: &str = "SCRAM-SHA-256$";
/// The iteration count of a decoy verifier: PostgreSQL's default, as in real verifiers.
const DECOY_ITERATIONS: u32 = 4096;
const DECOY_SALT_BYTES: usize = 16;

/// A SCRAM verifier, which allows a password to be checked but does not reveal it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScramVerifier {
    pub(crate) iterations: u32,
    pub(crate) salt: Vec<u8>,
    pub(crate) stored_key: [u8; KEY_BYTES],
    pub(crate) server_key: [u8; KEY_BYTES],
}

impl ScramVerifier {
    /// Creates a verifier for an unknown user, derived from `secret`.
    ///
    /// No password matches it. The exchange does not reveal that the user is unknown, because the
    /// salt for a user name is always the same.
    pub fn decoy(secret: &[u8], user: &str) -> Self {
        let salt = mac(secret, &format!("salt {user}"));
        Self {
            iterations: DECOY_ITERATIONS,
            salt: salt[..DECOY_SALT_BYTES].to_vec(),
            stored_key: mac(secret, &format!("stored {user}")),
            server_key: mac(secret, &format!("server {user}")),
        }
    }
}

impl FromStr for ScramVerifier {
    type Err = ScramError;

    /// Parses `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`, the form that PostgreSQL uses.
    fn from_str(text: &str) -> Result<Self, ScramError> {
        parse(text).ok_or(ScramError::BadVerifier)
    }
}

fn parse(text: &str) -> Option<ScramVerifier> {
    let (head, keys) = text.strip_prefix(VERIFIER_PREFIX)?.split_once('$')?;
    let (iterations, salt) = head.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    let iterations = iterations.parse().ok().filter(|count| *count > 0)?;
    Some(ScramVerifier {
        iterations,
        salt: STANDARD.decode(salt).ok().filter(|salt| !salt.is_empty())?,
        stored_key: STANDARD.decode(stored_key).ok()?.try_into().ok()?,
        server_key: STANDARD.decode(server_key).ok()?.try_into().ok()?,
    })
}

/// Returns the HMAC-SHA-256 of `text`.
pub(crate) fn mac(key: &[u8], text: &str) -> [u8; KEY_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(text.as_bytes());
    mac.finalize().into_bytes().into()
}
