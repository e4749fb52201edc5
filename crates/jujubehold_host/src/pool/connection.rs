//! One connection to an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use jujubehold_pg::{Frame, FrameError, FrameReader, backend, startup_message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The name under which the proxy connects to upstreams.
const UPSTREAM_USER: &str = "jujubehold";

/// A connection that an upstream has accepted.
#[derive(Debug)]
pub struct UpstreamConnection {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl UpstreamConnection {
    /// Connects to `address` and goes through the start of a session for `database`.
    ///
    /// # Errors
    /// The upstream can't be reached or refuses the session.
    pub async fn open(address: SocketAddr, database: &str) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read_half, mut writer) = stream.into_split();
        let parameters = BTreeMap::from([
            ("user".to_owned(), UPSTREAM_USER.to_owned()),
            ("database".to_owned(), database.to_owned()),
        ]);
        writer.write_all(&startup_message(parameters)).await?;
        let mut connection = Self {
            reader: FrameReader::new(read_half, BytesMut::new()),
            writer,
        };
        loop {
            let frame = connection.receive().await?;
            match frame.tag() {
                backend::READY_FOR_QUERY => return Ok(connection),
                backend::ERROR_RESPONSE => {
                    let detail = String::from_utf8_lossy(frame.body()).into_owned();
                    return Err(FrameError::Malformed(detail));
                }
                _ => {}
            }
        }
    }

    /// Sends bytes of whole messages.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn send(&mut self, bytes: &Bytes) -> Result<(), FrameError> {
        Ok(self.writer.write_all(bytes).await?)
    }

    /// The next message.
    ///
    /// # Errors
    /// The connection failed or ended.
    pub async fn receive(&mut self) -> Result<Frame, FrameError> {
        self.reader.read().await?.ok_or(FrameError::Truncated)
    }
}
