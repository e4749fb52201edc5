//! Status queries on connections of their own.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{FrameError, backend, query};
use pgwire::messages::data::DataRow;

use crate::pool::UpstreamConnection;

/// The query that every instance answers with its status.
pub(crate) const STATUS_QUERY: &str = "SELECT group_status()";

/// Asks one instance for its status over a connection that it keeps.
#[derive(Debug)]
pub(crate) struct Probe {
    address: SocketAddr,
    database: ServiceId,
    connection: Option<UpstreamConnection>,
}

impl Probe {
    /// A probe that connects when it is first used.
    pub(crate) fn new(address: SocketAddr, database: ServiceId) -> Self {
        Self {
            address,
            database,
            connection: None,
        }
    }

    /// Asks with the text `sql`, any of the group's functions; `None` when there was no answer in
    /// time.
    pub(crate) async fn ask(&mut self, sql: &str, timeout: Duration) -> Option<InstanceStatus> {
        let mut connection = self.connection.take();
        let answer = tokio::time::timeout(timeout, async {
            let mut open = match connection.take() {
                Some(open) => open,
                None => UpstreamConnection::open(self.address, &self.database).await?,
            };
            let status = ask_on(&mut open, sql).await?;
            Ok::<_, FrameError>((open, status))
        });
        let (open, status) = answer.await.ok()?.ok()?;
        self.connection = Some(open);
        status
    }
}

/// Runs one of the group's functions on `connection` and reads the status it answers with.
async fn ask_on(
    connection: &mut UpstreamConnection,
    sql: &str,
) -> Result<Option<InstanceStatus>, FrameError> {
    connection.send(query(sql).bytes()).await?;
    let mut status = None;
    loop {
        let frame = connection.receive().await?;
        match frame.tag() {
            backend::DATA_ROW => status = status_of_row(&frame.decode()?),
            backend::READY_FOR_QUERY => return Ok(status),
            _ => {}
        }
    }
}

/// Reads a status from a row of one text column.
pub(crate) fn status_of_row(row: &DataRow) -> Option<InstanceStatus> {
    let text = row.data.get(4..)?;
    InstanceStatus::parse(std::str::from_utf8(text).ok()?)
}
