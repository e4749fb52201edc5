//! The client side of SCRAM-SHA-256, which authenticates the proxy to an upstream.

use pgwire::messages::startup::Authentication;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use crate::frame::Frame;
use crate::scram_error::ScramError;
use crate::scram_frames::{sasl_initial_response, sasl_response};
use crate::scram_server::SCRAM_SHA_256;

/// One authentication exchange, in which the server must also prove that it knows the verifier.
///
/// A server that asks for a cleartext password, or for no proof at all, is rejected because it may
/// be an impostor.
pub struct ScramClient {
    scram: ScramSha256,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Start,
    AwaitingChallenge,
    AwaitingServerProof,
    ServerProved,
}

impl ScramClient {
    /// Creates an exchange that authenticates with `password`.
    pub fn new(password: &str) -> Self {
        let binding = ChannelBinding::unsupported();
        Self {
            scram: ScramSha256::new(password.as_bytes(), binding),
            state: State::Start,
        }
    }

    /// Processes one authentication message and returns the reply, or `None` if no reply is due.
    ///
    /// # Errors
    /// Returns an error if the server offers no supported mechanism, sends a message out of order,
    /// or does not prove that it knows the verifier.
    pub fn answer(&mut self, frame: &Frame) -> Result<Option<Frame>, ScramError> {
        let message: Authentication = frame
            .decode()
            .map_err(|_| ScramError::Malformed("it is no authentication message"))?;
        match (message, self.state) {
            (Authentication::SASL(mechanisms), State::Start) => self.begin(&mechanisms).map(Some),
            (Authentication::SASLContinue(challenge), State::AwaitingChallenge) => {
                self.scram.update(&challenge).map_err(server_error)?;
                self.state = State::AwaitingServerProof;
                Ok(Some(sasl_response(self.scram.message())))
            }
            (Authentication::SASLFinal(proof), State::AwaitingServerProof) => {
                self.scram.finish(&proof).map_err(server_error)?;
                self.state = State::ServerProved;
                Ok(None)
            }
            (Authentication::Ok, State::ServerProved) => Ok(None),
            (Authentication::Ok, _) => Err(ScramError::Server("it asked for no proof".into())),
            (Authentication::CleartextPassword | Authentication::MD5Password(_), _) => {
                Err(ScramError::Mechanism("password".into()))
            }
            _ => Err(ScramError::OutOfTurn),
        }
    }

    fn begin(&mut self, mechanisms: &[String]) -> Result<Frame, ScramError> {
        if !mechanisms.iter().any(|name| name == SCRAM_SHA_256) {
            return Err(ScramError::Mechanism(mechanisms.join(", ")));
        }
        self.state = State::AwaitingChallenge;
        Ok(sasl_initial_response(SCRAM_SHA_256, self.scram.message()))
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that map_err expects"
)]
fn server_error(error: std::io::Error) -> ScramError {
    ScramError::Server(error.to_string())
}
