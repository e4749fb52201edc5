//! Signed tokens in which a caller carries its session's floor between hosts.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

use crate::floor::Floor;

/// The shortest key that may sign tokens, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Why a token was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the session token is malformed")]
    Malformed,
    /// The signature was not made with this installation's key.
    #[error("the session token's signature is wrong")]
    BadSignature,
    /// The token was issued for another service.
    #[error("the session token is for another service")]
    OtherService,
}

/// Encodes a floor as a token: the floor's text and its signature, each in URL-safe base64.
pub fn sign_token(key: &[u8], floor: &Floor) -> String {
    let text = format!("1 {} {} {}", floor.service, floor.term, floor.position);
    let signature = mac(key, &text).finalize().into_bytes();
    format!(
        "{}.{}",
        URL_SAFE_NO_PAD.encode(&text),
        URL_SAFE_NO_PAD.encode(signature)
    )
}

/// Returns the floor in a token that was signed with `key` for `service`.
///
/// # Errors
/// Returns an error if the token is malformed, has a wrong signature or is for another service.
pub fn verify_token(key: &[u8], service: &str, token: &str) -> Result<Floor, TokenError> {
    let (text, signature) = token.split_once('.').ok_or(TokenError::Malformed)?;
    let text = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenError::Malformed)?;
    let text = String::from_utf8(text).map_err(|_| TokenError::Malformed)?;
    let signature = URL_SAFE_NO_PAD
        .decode(signature)
        .map_err(|_| TokenError::Malformed)?;
    mac(key, &text)
        .verify_slice(&signature)
        .map_err(|_| TokenError::BadSignature)?;
    let floor = parse_floor(&text).ok_or(TokenError::Malformed)?;
    if floor.service == service {
        Ok(floor)
    } else {
        Err(TokenError::OtherService)
    }
}

fn mac(key: &[u8], text: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(text.as_bytes());
    mac
}

fn parse_floor(text: &str) -> Option<Floor> {
    let mut fields = text.split(' ');
    if fields.next()? != "1" {
        return None;
    }
    let service = fields.next()?.into();
    let term = fields.next()?.parse().ok()?;
    let position = fields.next()?.parse().ok()?;
    fields.next().is_none().then_some(Floor {
        service,
        term,
        position,
    })
}
