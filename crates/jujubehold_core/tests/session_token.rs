//! Session tokens are accepted only exactly as they were issued.

use jujubehold_core::prelude::*;
use jujubehold_core::session_token::{TokenError, sign_token, verify_token};

const KEY: &[u8] = b"a key for these tests";

fn floor() -> Floor {
    Floor {
        service: "shares".into(),
        term: 3,
        position: 41,
    }
}

#[test]
fn a_token_is_decoded_to_its_floor() {
    let token = sign_token(KEY, &floor());
    assert_eq!(verify_token(KEY, "shares", &token), Ok(floor()));
}

#[test]
fn a_token_of_another_service_is_refused() {
    let token = sign_token(KEY, &floor());
    assert_eq!(
        verify_token(KEY, "casks", &token),
        Err(TokenError::OtherService)
    );
}

#[test]
fn a_token_signed_with_another_key_is_refused() {
    let token = sign_token(b"another key of some length", &floor());
    assert_eq!(
        verify_token(KEY, "shares", &token),
        Err(TokenError::BadSignature)
    );
}

#[test]
fn a_token_with_a_changed_byte_is_not_accepted() {
    let token = sign_token(KEY, &floor());
    for index in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(bytes).expect("ASCII stays ASCII");
        if forged != token {
            assert_ne!(
                verify_token(KEY, "shares", &forged),
                Ok(floor()),
                "byte {index}"
            );
        }
    }
}
