//! The authentication of callers.

use jujubehold_core::prelude::*;
use jujubehold_pg::{
    Frame, FrameError, FrameReader, SCRAM_SHA_256, ScramError, ScramServer, ScramVerifier,
    authentication_ok, frontend, read_sasl_initial_response, read_sasl_response, sasl_continue,
    sasl_final, sasl_mechanisms,
};
use rand::distr::{Alphanumeric, SampleString};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

const NONCE_CHARACTERS: usize = 24;

/// Why a caller's authentication failed.
#[derive(Debug, Error)]
pub enum LoginError {
    /// The connection failed or ended.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The SCRAM exchange failed. The caller gets no details.
    #[error(transparent)]
    Scram(#[from] ScramError),
}

/// Authenticates `user` against the callers in `config`, and confirms a success to the caller. A
/// service without configured callers accepts everyone.
///
/// `secret` is the installation's secret, which makes the exchange with an unknown user look like
/// any other. After an error, the connection has to send
/// [`RefusalReason::AuthenticationFailed`] to the caller and close.
///
/// # Errors
/// Returns an error if the connection ended, or if the caller's proof was wrong.
pub async fn log_in<R, W>(
    reader: &mut FrameReader<R>,
    writer: &mut W,
    config: &ServiceConfig,
    user: &str,
    secret: &[u8],
) -> Result<(), LoginError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    if !config.callers.is_empty() {
        let mut scram = ScramServer::new(verifier(config, user, secret), nonce());
        run_scram_exchange(reader, writer, &mut scram).await?;
    }
    send(writer, &authentication_ok()).await
}

async fn run_scram_exchange<R, W>(
    reader: &mut FrameReader<R>,
    writer: &mut W,
    scram: &mut ScramServer,
) -> Result<(), LoginError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    send(writer, &sasl_mechanisms(SCRAM_SHA_256)).await?;
    let first = read_sasl_initial_response(&receive(reader).await?)?;
    let challenge = scram.challenge(&first.mechanism, &first.message)?;
    send(writer, &sasl_continue(challenge)).await?;
    let proof = read_sasl_response(&receive(reader).await?)?;
    let server_proof = scram.verify(&proof)?;
    send(writer, &sasl_final(server_proof)).await
}

fn verifier(config: &ServiceConfig, user: &str, secret: &[u8]) -> ScramVerifier {
    config
        .callers
        .get(user)
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| ScramVerifier::decoy(secret, user))
}

fn nonce() -> String {
    Alphanumeric.sample_string(&mut rand::rng(), NONCE_CHARACTERS)
}

async fn receive<R: AsyncRead + Unpin>(reader: &mut FrameReader<R>) -> Result<Frame, LoginError> {
    let frame = reader.read().await?.ok_or(FrameError::Truncated)?;
    if frame.tag() == frontend::PASSWORD {
        Ok(frame)
    } else {
        Err(ScramError::OutOfTurn.into())
    }
}

async fn send<W: AsyncWrite + Unpin>(writer: &mut W, frame: &Frame) -> Result<(), LoginError> {
    writer
        .write_all(frame.bytes())
        .await
        .map_err(FrameError::from)?;
    writer.flush().await.map_err(FrameError::from)?;
    Ok(())
}
