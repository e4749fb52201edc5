//! A caller's connection, in cleartext or with TLS.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_rustls::server::TlsStream;

/// A caller's connection. The enum avoids dynamic dispatch on the request path.
#[derive(Debug)]
pub enum CallerStream {
    /// A cleartext connection.
    Plain(TcpStream),
    /// A TLS connection.
    Tls(Box<TlsStream<TcpStream>>),
}

/// The read half of a connection.
#[derive(Debug)]
pub enum CallerReadHalf {
    /// A cleartext connection.
    Plain(OwnedReadHalf),
    /// A TLS connection.
    Tls(ReadHalf<Box<TlsStream<TcpStream>>>),
}

/// The write half of a connection.
#[derive(Debug)]
pub enum CallerWriteHalf {
    /// A cleartext connection.
    Plain(OwnedWriteHalf),
    /// A TLS connection.
    Tls(WriteHalf<Box<TlsStream<TcpStream>>>),
}

impl CallerStream {
    /// Splits the connection, so that both halves can be awaited at the same time.
    pub fn into_split(self) -> (CallerReadHalf, CallerWriteHalf) {
        match self {
            Self::Plain(stream) => {
                let (read, write) = stream.into_split();
                (CallerReadHalf::Plain(read), CallerWriteHalf::Plain(write))
            }
            Self::Tls(stream) => {
                let (read, write) = tokio::io::split(stream);
                (CallerReadHalf::Tls(read), CallerWriteHalf::Tls(write))
            }
        }
    }

    /// Whether the connection uses TLS.
    pub fn is_tls(&self) -> bool {
        matches!(self, Self::Tls(_))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncRead for CallerReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(half) => Pin::new(half).poll_read(context, buffer),
            Self::Tls(half) => Pin::new(half).poll_read(context, buffer),
        }
    }
}

/// Implements `AsyncWrite` for an enum by delegating to the stream in its variant.
macro_rules! write_by_variant {
    ($type:ty) => {
        impl AsyncWrite for $type {
            fn poll_write(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                bytes: &[u8],
            ) -> Poll<io::Result<usize>> {
                match self.get_mut() {
                    Self::Plain(inner) => Pin::new(inner).poll_write(context, bytes),
                    Self::Tls(inner) => Pin::new(inner).poll_write(context, bytes),
                }
            }

            fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                match self.get_mut() {
                    Self::Plain(inner) => Pin::new(inner).poll_flush(context),
                    Self::Tls(inner) => Pin::new(inner).poll_flush(context),
                }
            }

            fn poll_shutdown(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
            ) -> Poll<io::Result<()>> {
                match self.get_mut() {
                    Self::Plain(inner) => Pin::new(inner).poll_shutdown(context),
                    Self::Tls(inner) => Pin::new(inner).poll_shutdown(context),
                }
            }
        }
    };
}

write_by_variant!(CallerStream);
write_by_variant!(CallerWriteHalf);
