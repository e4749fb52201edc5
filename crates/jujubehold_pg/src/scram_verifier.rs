//! What is kept of a password.

use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::scram_error::ScramError;

pub(crate) const KEY_BYTES: usize = 32;
const PREFIX: &str = "SCRAM-SHA-256$";
/// The iterations of a verifier that stands for a user who is not there; PostgreSQL's own default,
/// as real verifiers have.
const DECOY_ITERATIONS: u32 = 4096;
const SALT_BYTES: usize = 16;

/// A verifier: enough to check a password, too little to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScramVerifier {
    pub(crate) iterations: u32,
    pub(crate) salt: Vec<u8>,
    pub(crate) stored_key: [u8; KEY_BYTES],
    pub(crate) server_key: [u8; KEY_BYTES],
}

impl ScramVerifier {
    /// A verifier for a user who is not there. No password fits it, and the exchange looks like
    /// any other: the salt is the same each time that the same user is asked for.
    pub fn decoy(secret: &[u8], user: &str) -> Self {
        let salt = mac(secret, &format!("salt {user}"));
        Self {
            iterations: DECOY_ITERATIONS,
            salt: salt[..SALT_BYTES].to_vec(),
            stored_key: mac(secret, &format!("stored {user}")),
            server_key: mac(secret, &format!("server {user}")),
        }
    }
}

impl FromStr for ScramVerifier {
    type Err = ScramError;

    /// Reads `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`, as PostgreSQL writes it.
    fn from_str(text: &str) -> Result<Self, ScramError> {
        parse(text).ok_or(ScramError::BadVerifier)
    }
}

fn parse(text: &str) -> Option<ScramVerifier> {
    let (head, keys) = text.strip_prefix(PREFIX)?.split_once('$')?;
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

/// The HMAC-SHA-256 of `text`.
pub(crate) fn mac(key: &[u8], text: &str) -> [u8; KEY_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(text.as_bytes());
    mac.finalize().into_bytes().into()
}
