//! The start of a connection, whose messages have no tags.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{DecodeContext, Message};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{Frame, FrameError};

const PROTOCOL_3_MAJOR: u32 = 3;
// The request codes that a first packet can have in place of the protocol version.
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The maximum length of the first packet, the same as PostgreSQL's limit.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The request in a connection's first packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FirstPacket {
    /// Starts a session with these parameters, by name.
    Startup(BTreeMap<String, String>),
    /// Asks for TLS encryption.
    Ssl,
    /// Asks for GSSAPI encryption.
    Gss,
    /// Cancels another connection's running statement.
    Cancel {
        /// The process ID that the other connection received.
        process_id: i32,
        /// The secret key that the other connection received.
        secret_key: Bytes,
    },
}

/// Reads a connection's first packet by way of `buffer` and decodes it.
///
/// Bytes after the packet stay in `buffer`.
///
/// # Errors
/// Returns an error if the connection failed or the packet is not one of the PostgreSQL protocol.
pub async fn read_first_packet<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut BytesMut,
) -> Result<FirstPacket, FrameError> {
    loop {
        if buffer.len() >= 8 {
            let length_bytes = (&buffer[..4]).get_u32() as usize;
            if !(8..=MAX_STARTUP_BYTES).contains(&length_bytes) {
                return Err(FrameError::Length { length_bytes });
            }
            if buffer.len() >= length_bytes {
                let packet = buffer.split_to(length_bytes);
                return decode_first_packet(packet);
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Err(FrameError::Truncated);
        }
    }
}

fn decode_first_packet(mut packet: BytesMut) -> Result<FirstPacket, FrameError> {
    let code = (&packet[4..8]).get_u32();
    match code {
        SSL_REQUEST_CODE => Ok(FirstPacket::Ssl),
        GSS_REQUEST_CODE => Ok(FirstPacket::Gss),
        CANCEL_REQUEST_CODE if packet.len() > 12 => {
            let process_id = (&packet[8..12]).get_i32();
            Ok(FirstPacket::Cancel {
                process_id,
                secret_key: packet.split_off(12).freeze(),
            })
        }
        code if code >> 16 == PROTOCOL_3_MAJOR => {
            let context = DecodeContext::default();
            let startup = Startup::decode(&mut packet, &context)
                .map_err(|error| FrameError::Malformed(error.to_string()))?
                .ok_or(FrameError::Truncated)?;
            Ok(FirstPacket::Startup(startup.parameters))
        }
        code => Err(FrameError::Malformed(format!(
            "unknown first packet {code}"
        ))),
    }
}

/// Encodes the startup packet that a frontend sends.
pub fn startup_message(parameters: BTreeMap<String, String>) -> Bytes {
    let mut startup = Startup::default();
    startup.protocol_number_major = 3;
    startup.protocol_number_minor = 0;
    startup.parameters = parameters;
    let mut buffer = BytesMut::new();
    startup
        .encode(&mut buffer)
        .expect("startup messages of ordinary size can be encoded");
    buffer.freeze()
}

/// Encodes a simple query.
pub fn query(sql: &str) -> Frame {
    Frame::encode(&Query::new(sql.to_owned()))
}

/// Encodes the frontend's closing of the connection.
pub fn terminate() -> Frame {
    Frame::encode(&Terminate::new())
}
