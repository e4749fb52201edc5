//! Errors of a SCRAM exchange.

use thiserror::Error;

/// An error that ends the exchange.
///
/// The text sent to the other side does not distinguish a wrong password from an unknown user.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScramError {
    /// The verifier in the configuration is malformed.
    #[error("the verifier is malformed")]
    BadVerifier,
    /// The other side chose a mechanism that was not offered, or offers none that is supported.
    #[error("the mechanism {0:?} is not supported")]
    Mechanism(String),
    /// The other side asks for channel binding, or its copy of the header shows tampering.
    #[error("channel binding does not fit what was offered")]
    ChannelBinding,
    /// A message does not have the required form.
    #[error("a message of the exchange is malformed: {0}")]
    Malformed(&'static str),
    /// A message arrived out of order.
    #[error("a message of the exchange came out of turn")]
    OutOfTurn,
    /// The nonce does not belong to this exchange.
    #[error("the nonce is not that of this exchange")]
    Nonce,
    /// The proof is wrong: the password is wrong or the user is unknown.
    #[error("the proof is wrong")]
    Proof,
    /// The server did not prove that it knows the verifier.
    #[error("the server did not prove itself: {0}")]
    Server(String),
}
