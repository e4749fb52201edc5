//! A connection to an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::ThreadId;

use bytes::{Buf, Bytes, BytesMut};
use jujubehold_pg::{Frame, FrameError, FrameReader, backend, startup_message};
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::open_error::OpenError;
use super::prepared_names::PreparedNames;

/// The user name with which the proxy connects to upstreams.
const UPSTREAM_USER: &str = "jujubehold";

/// The number of statements prepared by other hosts at which a connection is closed.
const MAX_FOREIGN_STATEMENTS: usize = 512;

/// A connection that an upstream has accepted.
#[derive(Debug)]
pub struct UpstreamConnection {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    thread: ThreadId,
    prepared: PreparedNames,
    cancel_target: Option<CancelTarget>,
    settings: SmolStr,
    foreign_statements: usize,
}

/// What is needed to cancel a connection's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelTarget {
    /// The upstream's address.
    pub address: SocketAddr,
    /// The upstream's process ID and secret, as it sent them.
    pub key: Bytes,
}

/// Whether a failed send may have sent any bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte was passed to the operating system.
    NotSent,
    /// Some bytes were passed to the operating system.
    MaybeSent,
}

impl UpstreamConnection {
    /// Connects to `address` and starts a session with `database`.
    ///
    /// # Errors
    /// The upstream can't be reached or refuses the session.
    pub async fn open(address: SocketAddr, database: &str) -> Result<Self, OpenError> {
        let (read_half, mut writer) = connect(address)
            .await
            .map_err(FrameError::from)?
            .into_split();
        let parameters = BTreeMap::from([
            ("user".to_owned(), UPSTREAM_USER.to_owned()),
            ("database".to_owned(), database.to_owned()),
        ]);
        let start = startup_message(parameters);
        writer.write_all(&start).await.map_err(FrameError::from)?;
        let mut connection = Self {
            reader: FrameReader::new(read_half, BytesMut::new()),
            writer,
            thread: std::thread::current().id(),
            prepared: PreparedNames::default(),
            cancel_target: None,
            settings: SmolStr::default(),
            foreign_statements: 0,
        };
        loop {
            let frame = connection.receive().await?;
            match frame.tag() {
                backend::READY_FOR_QUERY => return Ok(connection),
                backend::BACKEND_KEY_DATA => {
                    let key = frame.bytes().slice(5..);
                    connection.cancel_target = Some(CancelTarget { address, key });
                }
                backend::ERROR_RESPONSE => {
                    return Err(OpenError::refused(&frame));
                }
                _ => {}
            }
        }
    }

    /// Returns the thread that is woken when data arrives on the connection.
    pub fn thread(&self) -> ThreadId {
        self.thread
    }

    /// Registers the connection with the current thread, so that an answer wakes one thread rather
    /// than two.
    ///
    /// # Errors
    /// The connection can't be moved, and is lost.
    pub fn move_here(self) -> std::io::Result<Self> {
        let thread = std::thread::current().id();
        if self.thread == thread {
            return Ok(self);
        }
        let (read_half, buffered) = self.reader.into_parts();
        let whole = read_half
            .reunite(self.writer)
            .map_err(std::io::Error::other)?;
        let stream = TcpStream::from_std(whole.into_std()?)?;
        let (read_half, writer) = stream.into_split();
        Ok(Self {
            reader: FrameReader::new(read_half, buffered),
            writer,
            thread,
            ..self
        })
    }

    /// Sends complete messages.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), FrameError> {
        Ok(self.writer.write_all(bytes).await?)
    }

    /// Sends complete messages; an error states whether any bytes may have been sent.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn send_with_progress(&mut self, mut bytes: &[u8]) -> Result<(), SendFailure> {
        let mut failure = SendFailure::NotSent;
        while bytes.has_remaining() {
            match self.writer.write_buf(&mut bytes).await {
                Ok(0) | Err(_) => return Err(failure),
                Ok(_) => failure = SendFailure::MaybeSent,
            }
        }
        Ok(())
    }

    /// Receives the next message.
    ///
    /// # Errors
    /// The connection failed or ended.
    pub async fn receive(&mut self) -> Result<Frame, FrameError> {
        self.reader.read().await?.ok_or(FrameError::Truncated)
    }

    /// Returns whether an idle connection is usable: it is open, and no unexpected data has
    /// arrived.
    pub fn is_healthy(&self) -> bool {
        if !self.reader.is_empty() {
            return false;
        }
        let mut byte = [0];
        match self.reader.get_ref().try_read(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the statements that this host has prepared on the connection.
    pub fn prepared(&mut self) -> &mut PreparedNames {
        &mut self.prepared
    }

    /// Returns what is needed to cancel a statement; `None` if the upstream sent no key.
    pub fn cancel_target(&self) -> Option<&CancelTarget> {
        self.cancel_target.as_ref()
    }

    /// Returns the commands that were run to apply the connection's settings; empty for the
    /// upstream's defaults.
    pub fn settings(&mut self) -> &mut SmolStr {
        &mut self.settings
    }

    /// Returns whether other hosts have prepared statements, whose names this host does not track.
    pub fn has_foreign_statements(&self) -> bool {
        self.foreign_statements > 0
    }

    /// Records that another host prepared `count` statements; returns whether there is room for
    /// more.
    pub fn add_foreign_statements(&mut self, count: usize) -> bool {
        self.foreign_statements += count;
        self.foreign_statements < MAX_FOREIGN_STATEMENTS
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
