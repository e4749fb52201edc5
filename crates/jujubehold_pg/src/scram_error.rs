//! Why a SCRAM exchange ended without success.

use thiserror::Error;

/// A fault that ends the exchange.
///
/// What the other side is told does not tell a wrong password from an unknown user.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScramError {
    /// The verifier in the configuration is not one.
    #[error("the verifier is malformed")]
    BadVerifier,
    /// The other side names a mechanism that was not offered, or offers none that is known.
    #[error("the mechanism {0:?} is not supported")]
    Mechanism(String),
    /// The other side asks for channel binding or says that its offer was tampered with.
    #[error("channel binding does not fit what was offered")]
    ChannelBinding,
    /// A message does not have the form that the exchange asks for.
    #[error("a message of the exchange is malformed: {0}")]
    Malformed(&'static str),
    /// A message came out of turn.
    #[error("a message of the exchange came out of turn")]
    OutOfTurn,
    /// The nonce is not the one of this exchange.
    #[error("the nonce is not that of this exchange")]
    Nonce,
    /// The proof is wrong: the password, or the user.
    #[error("the proof is wrong")]
    Proof,
    /// The server did not prove that it knows the verifier.
    #[error("the server did not prove itself: {0}")]
    Server(String),
}
