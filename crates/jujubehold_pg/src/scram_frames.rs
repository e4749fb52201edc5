//! The messages that carry a SASL exchange.

use bytes::Bytes;
use pgwire::messages::startup::{Authentication, SASLInitialResponse, SASLResponse};

use crate::frame::Frame;

/// The server offers `mechanism`.
pub fn sasl_mechanisms(mechanism: &str) -> Frame {
    Frame::encode(&Authentication::SASL(vec![mechanism.to_owned()]))
}

/// The server's challenge.
pub fn sasl_continue(message: String) -> Frame {
    Frame::encode(&Authentication::SASLContinue(message.into()))
}

/// The server's own proof.
pub fn sasl_final(message: String) -> Frame {
    Frame::encode(&Authentication::SASLFinal(message.into()))
}

/// Nothing more is asked.
pub fn authentication_ok() -> Frame {
    Frame::encode(&Authentication::Ok)
}

/// The client's first message.
pub fn sasl_initial_response(mechanism: &str, message: &[u8]) -> Frame {
    let message = Bytes::copy_from_slice(message);
    Frame::encode(&SASLInitialResponse::new(
        mechanism.to_owned(),
        Some(message),
    ))
}

/// The client's proof.
pub fn sasl_response(message: &[u8]) -> Frame {
    Frame::encode(&SASLResponse::new(Bytes::copy_from_slice(message)))
}
