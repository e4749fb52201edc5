//! The server side of SCRAM-SHA-256 (RFC 5802 and RFC 7677), without I/O.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

use crate::scram_error::ScramError;
use crate::scram_verifier::{KEY_BYTES, ScramVerifier, mac};

/// The only mechanism that is offered; it has no channel binding.
pub const SCRAM_SHA_256: &str = "SCRAM-SHA-256";

/// One authentication exchange with a caller.
///
/// Messages must arrive in order, each once; any other message ends the exchange.
#[derive(Debug)]
pub struct ScramServer {
    verifier: ScramVerifier,
    nonce: String,
    state: State,
}

#[derive(Debug)]
enum State {
    Start,
    Challenged {
        gs2_header: String,
        client_first_bare: String,
        server_first: String,
    },
    Ended,
}

impl ScramServer {
    /// Creates an exchange that checks the caller's proof against `verifier`.
    ///
    /// `nonce` must be printable text without commas and unique to this exchange.
    pub fn new(verifier: ScramVerifier, nonce: String) -> Self {
        Self {
            verifier,
            nonce,
            state: State::Start,
        }
    }

    /// Processes the caller's first message and returns the challenge.
    ///
    /// # Errors
    /// Returns an error if the message is malformed, out of order, or asks for a mechanism or
    /// channel binding that was not offered.
    pub fn challenge(&mut self, mechanism: &str, message: &[u8]) -> Result<String, ScramError> {
        if !matches!(
            std::mem::replace(&mut self.state, State::Ended),
            State::Start
        ) {
            return Err(ScramError::OutOfTurn);
        }
        if mechanism != SCRAM_SHA_256 {
            return Err(ScramError::Mechanism(mechanism.to_owned()));
        }
        let message = text(message)?;
        let (gs2_header, client_first_bare) = split_gs2_header(message)?;
        let client_nonce = client_nonce(client_first_bare)?;
        self.nonce.insert_str(0, client_nonce);
        let server_first = format!(
            "r={},s={},i={}",
            self.nonce,
            STANDARD.encode(&self.verifier.salt),
            self.verifier.iterations
        );
        self.state = State::Challenged {
            gs2_header: gs2_header.to_owned(),
            client_first_bare: client_first_bare.to_owned(),
            server_first: server_first.clone(),
        };
        Ok(server_first)
    }

    /// Verifies the caller's proof and returns the server's proof.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or out of order, or if the proof is wrong.
    pub fn verify(&mut self, message: &[u8]) -> Result<String, ScramError> {
        let State::Challenged {
            gs2_header,
            client_first_bare,
            server_first,
        } = std::mem::replace(&mut self.state, State::Ended)
        else {
            return Err(ScramError::OutOfTurn);
        };
        let message = text(message)?;
        let (without_proof, proof) = message
            .rsplit_once(",p=")
            .ok_or(ScramError::Malformed("the proof is missing"))?;
        self.check_binding_and_nonce(without_proof, &gs2_header)?;
        let proof: [u8; KEY_BYTES] = STANDARD
            .decode(proof)
            .ok()
            .and_then(|proof| proof.try_into().ok())
            .ok_or(ScramError::Malformed("the proof is not one"))?;
        let exchange = format!("{client_first_bare},{server_first},{without_proof}");
        if !self.is_valid_proof(&exchange, proof) {
            return Err(ScramError::Proof);
        }
        let signature = mac(&self.verifier.server_key, &exchange);
        Ok(format!("v={}", STANDARD.encode(signature)))
    }

    fn check_binding_and_nonce(
        &self,
        without_proof: &str,
        gs2_header: &str,
    ) -> Result<(), ScramError> {
        let mut attributes = without_proof.split(',');
        let binding = attributes.next().and_then(|part| part.strip_prefix("c="));
        // The proof covers this copy of the header, so a modified first message is detected.
        if binding != Some(STANDARD.encode(gs2_header).as_str()) {
            return Err(ScramError::ChannelBinding);
        }
        let nonce = attributes.next().and_then(|part| part.strip_prefix("r="));
        if nonce != Some(self.nonce.as_str()) {
            return Err(ScramError::Nonce);
        }
        Ok(())
    }

    fn is_valid_proof(&self, exchange: &str, proof: [u8; KEY_BYTES]) -> bool {
        let mut client_key = mac(&self.verifier.stored_key, exchange);
        for (key, proof) in client_key.iter_mut().zip(proof) {
            *key ^= proof;
        }
        let stored_key: [u8; KEY_BYTES] = Sha256::digest(client_key).into();
        constant_time_eq(&stored_key, &self.verifier.stored_key)
    }
}

/// Compares two keys in constant time.
fn constant_time_eq(left: &[u8; KEY_BYTES], right: &[u8; KEY_BYTES]) -> bool {
    left.iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right))
        == 0
}

fn text(message: &[u8]) -> Result<&str, ScramError> {
    std::str::from_utf8(message).map_err(|_| ScramError::Malformed("it is not text"))
}

/// Splits the channel binding header, `n,,` or `y,,`, from the rest of the first message.
fn split_gs2_header(message: &str) -> Result<(&str, &str), ScramError> {
    if message.starts_with("p=") {
        return Err(ScramError::ChannelBinding);
    }
    if message.starts_with("n,,") || message.starts_with("y,,") {
        return Ok(message.split_at("n,,".len()));
    }
    Err(ScramError::Malformed("the header is not n,, or y,,"))
}

/// Returns the nonce of `n=USER,r=NONCE`.
///
/// The user name is ignored; the one from the startup message of the session applies.
fn client_nonce(client_first_bare: &str) -> Result<&str, ScramError> {
    let mut attributes = client_first_bare.split(',');
    if !attributes.next().is_some_and(|part| part.starts_with("n=")) {
        return Err(ScramError::Malformed("the user is missing"));
    }
    let nonce = attributes
        .next()
        .and_then(|part| part.strip_prefix("r="))
        .ok_or(ScramError::Malformed("the nonce is missing"))?;
    if nonce.is_empty() || !nonce.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(ScramError::Malformed("the nonce is not printable"));
    }
    Ok(nonce)
}
