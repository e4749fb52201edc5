//! Calls to the group functions of instances, on dedicated connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{FrameError, backend, query};
use metrics::counter;
use pgwire::messages::data::DataRow;

use super::instance_reply::InstanceReply;
use crate::pool::{OpenError, UpstreamConnection};

/// Calls the group functions of one instance, over a connection that it reuses until a call fails.
///
/// Calls may overlap: a second call opens its own connection, so that a fence does not wait for a
/// probe that gets no answer.
#[derive(Debug)]
pub(crate) struct InstanceClient {
    address: SocketAddr,
    database: ServiceId,
    idle_connection: RefCell<Option<UpstreamConnection>>,
    is_probing: Cell<bool>,
}

impl InstanceClient {
    /// Creates a client that connects at its first call.
    pub(crate) fn new(address: SocketAddr, database: ServiceId) -> Self {
        Self {
            address,
            database,
            idle_connection: RefCell::new(None),
            is_probing: Cell::new(false),
        }
    }

    /// Returns the instance's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks a probe as in flight; returns whether none was in flight before.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.is_probing.replace(true)
    }

    /// Marks the probe in flight as ended.
    pub(crate) fn end_probe(&self) {
        self.is_probing.set(false);
    }

    /// Calls a group function with the statement `sql`. Closes the connection if the call fails or
    /// times out.
    pub(crate) async fn call(&self, sql: &str, timeout: Duration) -> InstanceReply {
        let idle_connection = self.idle_connection.take();
        let call = tokio::time::timeout(timeout, async {
            let mut connection = match idle_connection {
                Some(idle_connection) => idle_connection,
                None => UpstreamConnection::open(self.address, &self.database).await?,
            };
            let status = call_on(&mut connection, sql).await?;
            Ok::<_, OpenError>((connection, status))
        });
        match call.await {
            Ok(Ok((connection, status))) => {
                self.idle_connection.replace(Some(connection));
                status.map_or(InstanceReply::NoStatus, InstanceReply::Status)
            }
            Ok(Err(error)) if error.is_full() => InstanceReply::AtConnectionLimit,
            Ok(Err(_)) | Err(_) => InstanceReply::NoStatus,
        }
    }
}

/// Calls a group function on `connection` and returns the status in its result, if any.
async fn call_on(
    connection: &mut UpstreamConnection,
    sql: &str,
) -> Result<Option<InstanceStatus>, FrameError> {
    let request = query(sql);
    count_bytes("sent", request.bytes().len());
    connection.send(request.bytes()).await?;
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

/// Counts the bytes of calls to instances, without the transport's headers.
fn count_bytes(direction: &'static str, bytes: usize) {
    counter!("jujubehold_instance_call_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}

/// Reads a status from a row with one text column.
fn status_of_row(row: &DataRow) -> Option<InstanceStatus> {
    let text = row.data.get(4..)?;
    InstanceStatus::parse(std::str::from_utf8(text).ok()?)
}
