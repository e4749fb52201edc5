//! The start of a connection, which has messages without tags.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use pgwire::messages::terminate::Terminate;
use pgwire::messages::{DecodeContext, Message};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{Frame, FrameError};

const PROTOCOL_3_MAJOR: u32 = 3;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// The longest first packet that is taken, in bytes; PostgreSQL's own limit.
const MAX_STARTUP_BYTES: usize = 10_000;

/// What a connection's first packet asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FirstPacket {
    /// A session, with its parameters by name.
    Startup(BTreeMap<String, String>),
    /// TLS, before anything else.
    Ssl,
    /// GSS encryption, before anything else.
    Gss,
    /// The cancellation of what another connection runs.
    Cancel {
        /// The process number that the other connection was told.
        process_id: i32,
        /// The secret that it was told.
        secret_key: Bytes,
    },
}

/// Reads a connection's first packet into `buffer` and takes it out.
///
/// # Errors
/// The connection failed, or the packet is not PostgreSQL's.
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
        SSL_REQUEST => Ok(FirstPacket::Ssl),
        GSS_REQUEST => Ok(FirstPacket::Gss),
        CANCEL_REQUEST if packet.len() > 12 => {
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

/// The first packet of a session, as a frontend sends it.
pub fn startup_message(parameters: BTreeMap<String, String>) -> Bytes {
    let mut startup = Startup::default();
    startup.protocol_number_major = 3;
    startup.protocol_number_minor = 0;
    startup.parameters = parameters;
    let mut buffer = BytesMut::new();
    startup
        .encode(&mut buffer)
        .expect("a startup message of ordinary size can be encoded");
    buffer.freeze()
}

/// SQL text to run.
pub fn query(sql: &str) -> Frame {
    Frame::encode(&Query::new(sql.to_owned()))
}

/// The frontend leaves.
pub fn terminate() -> Frame {
    Frame::encode(&Terminate::new())
}
