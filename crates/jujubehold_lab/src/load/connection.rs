//! A lightweight caller connection for the load generator.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::BytesMut;
use jujubehold_pg::{Frame, FrameError, FrameReader, backend, query, startup_message};
use pgwire::messages::response::ErrorResponse;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The user of sessions that are opened without a user name.
pub(crate) const DEFAULT_USER: &str = "clerk";

/// A session that runs simple queries.
#[derive(Debug)]
pub struct LoadConnection {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// The latest session token that the host returned.
    pub token: Option<String>,
}

/// The answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Answer {
    /// The first column of each row, as text.
    pub values: Vec<String>,
    /// The SQLSTATE if the statement failed.
    pub sqlstate: Option<String>,
    /// The error's detail, which contains the verdict.
    pub detail: String,
}

impl Answer {
    /// Returns whether the statement succeeded.
    pub fn is_ok(&self) -> bool {
        self.sqlstate.is_none()
    }

    /// Returns whether the error reports that the statement did not run.
    pub fn is_not_run(&self) -> bool {
        self.detail.contains("verdict=not_run")
    }

    /// Returns the delay after which the error asks the caller to retry, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let (_, rest) = self.detail.split_once("retry_after_ms=")?;
        rest.split_whitespace().next()?.parse().ok()
    }
}

impl LoadConnection {
    /// Opens a session of `service` that presents `token`, if there is one.
    ///
    /// # Errors
    /// Returns an error if the host is unreachable or refuses the session.
    pub async fn open(
        address: SocketAddr,
        service: &str,
        token: Option<&str>,
    ) -> Result<Self, FrameError> {
        Self::open_as(DEFAULT_USER, address, service, token).await
    }

    /// Opens a session of `service` as [`LoadConnection::open`] does, for the caller `user`.
    ///
    /// # Errors
    /// Returns an error if the host is unreachable or refuses the session.
    pub async fn open_as(
        user: &str,
        address: SocketAddr,
        service: &str,
        token: Option<&str>,
    ) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read_half, mut writer) = stream.into_split();
        let mut parameters = BTreeMap::from([
            ("user".to_owned(), user.to_owned()),
            ("database".to_owned(), service.to_owned()),
        ]);
        if let Some(token) = token {
            parameters.insert("jujubehold.session".to_owned(), token.to_owned());
        }
        writer.write_all(&startup_message(parameters)).await?;
        let reader = FrameReader::new(read_half, BytesMut::new());
        let mut connection = Self {
            reader,
            writer,
            token: token.map(str::to_owned),
        };
        let answer = connection.answer().await?;
        match answer.sqlstate {
            None => Ok(connection),
            Some(sqlstate) => Err(FrameError::Malformed(format!(
                "{sqlstate} {}",
                answer.detail
            ))),
        }
    }

    /// Runs one statement.
    ///
    /// # Errors
    /// Returns an error if the connection fails; whether the statement ran is then unknown.
    pub async fn run(&mut self, sql: &str) -> Result<Answer, FrameError> {
        self.run_frame(&query(sql)).await
    }

    /// Runs one statement that is already encoded.
    ///
    /// # Errors
    /// Returns an error if the connection fails; whether the statement ran is then unknown.
    pub async fn run_frame(&mut self, frame: &Frame) -> Result<Answer, FrameError> {
        self.writer.write_all(frame.bytes()).await?;
        self.answer().await
    }

    async fn answer(&mut self) -> Result<Answer, FrameError> {
        let mut answer = Answer::default();
        loop {
            let frame = self.reader.read().await?.ok_or(FrameError::Truncated)?;
            match frame.tag() {
                backend::READY_FOR_QUERY => return Ok(answer),
                backend::DATA_ROW => answer.values.push(first_column(&frame).unwrap_or_default()),
                backend::ERROR_RESPONSE => {
                    read_error(&frame, &mut answer)?;
                    if frame.body().starts_with(b"SFATAL") {
                        return Ok(answer);
                    }
                }
                backend::PARAMETER_STATUS => self.read_parameter(&frame),
                _ => {}
            }
        }
    }

    fn read_parameter(&mut self, frame: &Frame) {
        let mut parts = frame.body().split(|byte| *byte == 0);
        if parts.next() == Some(b"jujubehold.session") {
            self.token = parts
                .next()
                .map(|value| String::from_utf8_lossy(value).into_owned());
        }
    }
}

fn read_error(frame: &Frame, answer: &mut Answer) -> Result<(), FrameError> {
    let error: ErrorResponse = frame.decode()?;
    for (field, text) in error.fields {
        match field {
            b'C' => answer.sqlstate = Some(text),
            b'D' => answer.detail = text,
            _ => {}
        }
    }
    Ok(())
}

fn first_column(frame: &Frame) -> Option<String> {
    let body = frame.body();
    let length_bytes = i32::from_be_bytes(body.get(2..6)?.try_into().ok()?);
    let length_bytes = usize::try_from(length_bytes).ok()?;
    Some(String::from_utf8_lossy(body.get(6..6 + length_bytes)?).into_owned())
}
