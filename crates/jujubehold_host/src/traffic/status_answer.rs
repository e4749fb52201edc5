//! Sends and reads status queries.

use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, backend};

use super::checked_out_connection::CheckedOutConnection;

/// The query that every instance answers with its status.
pub(crate) const STATUS_QUERY: &str = "SELECT group_status()";

/// The offset of the text of a row's only column, after the column count and the text's length.
const TEXT_START: usize = 6;

/// Reads the complete answer to a status query; returns `None` if it holds no status.
pub(crate) async fn read_status(
    connection: &mut CheckedOutConnection,
) -> Result<Option<InstanceStatus>, FrameError> {
    let mut status = None;
    loop {
        let frame = connection.receive().await?;
        match frame.tag() {
            backend::DATA_ROW => status = status_of_row(&frame),
            backend::READY_FOR_QUERY => return Ok(status),
            _ => {}
        }
    }
}

fn status_of_row(row: &Frame) -> Option<InstanceStatus> {
    let text = row.body().get(TEXT_START..)?;
    InstanceStatus::parse(std::str::from_utf8(text).ok()?)
}
