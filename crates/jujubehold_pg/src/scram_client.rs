//! The client's side of an authentication, as towards an upstream.

use pgwire::messages::startup::Authentication;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use crate::frame::Frame;
use crate::scram_error::ScramError;
use crate::scram_frames::{sasl_initial_response, sasl_response};
use crate::scram_server::SCRAM_SHA_256;

/// One exchange with a server that must prove that it knows the password's verifier too.
///
/// A server that asks for the password in the clear, or for none, is refused: it may not be the
/// one that it seems.
pub struct ScramClient {
    scram: ScramSha256,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Start,
    AwaitsChallenge,
    AwaitsProof,
    Proved,
}

impl ScramClient {
    /// An exchange with `password`.
    pub fn new(password: &str) -> Self {
        let binding = ChannelBinding::unsupported();
        Self {
            scram: ScramSha256::new(password.as_bytes(), binding),
            state: State::Start,
        }
    }

    /// Takes one authentication message, and returns the answer to it, if it wants one.
    ///
    /// # Errors
    /// The server offers nothing known, is out of turn, or has not proved itself.
    pub fn answer(&mut self, frame: &Frame) -> Result<Option<Frame>, ScramError> {
        let message: Authentication = frame
            .decode()
            .map_err(|_| ScramError::Malformed("it is no authentication message"))?;
        match (message, self.state) {
            (Authentication::SASL(mechanisms), State::Start) => self.begin(&mechanisms).map(Some),
            (Authentication::SASLContinue(challenge), State::AwaitsChallenge) => {
                self.scram.update(&challenge).map_err(server_fault)?;
                self.state = State::AwaitsProof;
                Ok(Some(sasl_response(self.scram.message())))
            }
            (Authentication::SASLFinal(proof), State::AwaitsProof) => {
                self.scram.finish(&proof).map_err(server_fault)?;
                self.state = State::Proved;
                Ok(None)
            }
            (Authentication::Ok, State::Proved) => Ok(None),
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
        self.state = State::AwaitsChallenge;
        Ok(sasl_initial_response(SCRAM_SHA_256, self.scram.message()))
    }
}

#[expect(clippy::needless_pass_by_value, reason = "the form that map_err calls")]
fn server_fault(error: std::io::Error) -> ScramError {
    ScramError::Server(error.to_string())
}
