//! Calls of the group's functions, on connections of their own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{FrameError, backend, query};
use metrics::counter;
use pgwire::messages::data::DataRow;

use super::instance_reply::InstanceReply;
use crate::pool::{OpenError, UpstreamConnection};

/// Asks one instance, over one connection that it keeps while nothing goes wrong.
///
/// Calls may overlap: a second one opens a connection of its own, so that a fence does not wait
/// for a probe that gets no answer.
#[derive(Debug)]
pub(crate) struct InstanceCaller {
    address: SocketAddr,
    database: ServiceId,
    kept: RefCell<Option<UpstreamConnection>>,
    is_probing: Cell<bool>,
}

impl InstanceCaller {
    /// A caller that connects when it is first used.
    pub(crate) fn new(address: SocketAddr, database: ServiceId) -> Self {
        Self {
            address,
            database,
            kept: RefCell::new(None),
            is_probing: Cell::new(false),
        }
    }

    /// Where the instance listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks that a probe is under way; returns whether none was before.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.is_probing.replace(true)
    }

    /// Marks that no probe is under way any more.
    pub(crate) fn end_probe(&self) {
        self.is_probing.set(false);
    }

    /// Asks with the text `sql`, any of the group's functions. A connection that gave no answer in
    /// time is closed.
    pub(crate) async fn ask(&self, sql: &str, timeout: Duration) -> InstanceReply {
        let kept = self.kept.take();
        let answer = tokio::time::timeout(timeout, async {
            let mut connection = match kept {
                Some(kept) => kept,
                None => UpstreamConnection::open(self.address, &self.database).await?,
            };
            let status = ask_on(&mut connection, sql).await?;
            Ok::<_, OpenError>((connection, status))
        });
        match answer.await {
            Ok(Ok((connection, status))) => {
                self.kept.replace(Some(connection));
                status.map_or(InstanceReply::Nothing, InstanceReply::Status)
            }
            Ok(Err(error)) if error.is_full() => InstanceReply::Full,
            Ok(Err(_)) | Err(_) => InstanceReply::Nothing,
        }
    }
}

/// Runs one of the group's functions on `connection` and reads the status it answers with.
async fn ask_on(
    connection: &mut UpstreamConnection,
    sql: &str,
) -> Result<Option<InstanceStatus>, FrameError> {
    let question = query(sql);
    count_bytes("sent", question.bytes().len());
    connection.send(question.bytes()).await?;
    let mut status = None;
    loop {
        let frame = connection.receive().await?;
        count_bytes("received", frame.bytes().len());
        match frame.tag() {
            backend::DATA_ROW => status = status_of_row(&frame.decode()?),
            backend::READY_FOR_QUERY => return Ok(status),
            _ => {}
        }
    }
}

/// Counts what calls of instances cost, the transport's headers left out.
fn count_bytes(direction: &'static str, bytes: usize) {
    counter!("jujubehold_instance_call_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}

/// Reads a status from a row of one text column.
fn status_of_row(row: &DataRow) -> Option<InstanceStatus> {
    let text = row.data.get(4..)?;
    InstanceStatus::parse(std::str::from_utf8(text).ok()?)
}
