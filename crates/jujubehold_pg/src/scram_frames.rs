//! Encoding and decoding of the messages that carry a SASL exchange.

use bytes::Bytes;
use pgwire::messages::startup::{
    Authentication, PasswordMessageFamily, SASLInitialResponse, SASLResponse,
};

use crate::frame::{Frame, FrameError};

/// The client's first message of the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialResponse {
    /// The mechanism that the client chose.
    pub mechanism: String,
    /// The mechanism's initial response; empty if the client sent none.
    pub message: Bytes,
}

/// Encodes the server's offer of `mechanism`.
pub fn sasl_mechanisms(mechanism: &str) -> Frame {
    Frame::encode(&Authentication::SASL(vec![mechanism.to_owned()]))
}

/// Encodes the server's challenge.
pub fn sasl_continue(message: String) -> Frame {
    Frame::encode(&Authentication::SASLContinue(message.into()))
}

/// Encodes the server's proof.
pub fn sasl_final(message: String) -> Frame {
    Frame::encode(&Authentication::SASLFinal(message.into()))
}

/// Encodes the message that authentication succeeded.
pub fn authentication_ok() -> Frame {
    Frame::encode(&Authentication::Ok)
}

/// Encodes the client's first message.
pub fn sasl_initial_response(mechanism: &str, message: &[u8]) -> Frame {
    let message = Bytes::copy_from_slice(message);
    Frame::encode(&SASLInitialResponse::new(
        mechanism.to_owned(),
        Some(message),
    ))
}

/// Encodes the client's proof.
pub fn sasl_response(message: &[u8]) -> Frame {
    Frame::encode(&SASLResponse::new(Bytes::copy_from_slice(message)))
}

/// Decodes the client's first message.
///
/// # Errors
/// Returns an error if the content is malformed.
pub fn read_sasl_initial_response(frame: &Frame) -> Result<InitialResponse, FrameError> {
    let message = frame
        .decode::<PasswordMessageFamily>()?
        .into_sasl_initial_response()
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok(InitialResponse {
        mechanism: message.auth_method,
        message: message.data.unwrap_or_default(),
    })
}

/// Decodes the client's proof.
///
/// # Errors
/// Returns an error if the content is malformed.
pub fn read_sasl_response(frame: &Frame) -> Result<Bytes, FrameError> {
    let message = frame
        .decode::<PasswordMessageFamily>()?
        .into_sasl_response()
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok(message.data)
}
