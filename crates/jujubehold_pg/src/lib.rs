//! Messages of the PostgreSQL v3 protocol, as far as the proxy needs them.
//!
//! The byte stream is split into frames by their length. Frames whose content the proxy does not
//! need are forwarded without decoding; the others are decoded by pgwire's codecs. This crate does
//! not route statements. See docs/ARCHITECTURE.md.

mod classifier;
mod classify;
mod extended;
mod frame;
mod frame_reader;
mod pure_functions;
mod reply;
mod scram_client;
mod scram_error;
mod scram_frames;
mod scram_server;
mod scram_verifier;
mod session_command;
mod startup;

pub use classifier::Classifier;
pub use classify::{classify, combine, is_one_statement};
pub use extended::{
    ExtendedMessage, bind_to, close_complete, close_statement, describe_statement, flush, parse,
    parse_complete, sync,
};
pub use frame::{Frame, FrameError, backend, frontend};
pub use frame_reader::FrameReader;
pub use reply::{
    ErrorFields, command_complete, error_response, notice_response, parameter_status,
    ready_for_query, row_description, text_row,
};
pub use scram_client::ScramClient;
pub use scram_error::ScramError;
pub use scram_frames::{
    InitialResponse, authentication_ok, read_sasl_initial_response, read_sasl_response,
    sasl_continue, sasl_final, sasl_initial_response, sasl_mechanisms, sasl_response,
};
pub use scram_server::{SCRAM_SHA_256, ScramServer};
pub use scram_verifier::ScramVerifier;
pub use session_command::SessionCommand;
pub use startup::{FirstPacket, query, read_first_packet, startup_message, terminate};
