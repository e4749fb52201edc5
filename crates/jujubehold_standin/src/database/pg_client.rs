//! A minimal PostgreSQL client, with which an instance reads the log of another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use jujubehold_pg::{FrameError, FrameReader, backend, query, startup_message};
use pgwire::messages::data::DataRow;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The application name of connections between instances, which do not count against the
/// connection limit.
pub(crate) const REPLICATION_APPLICATION_NAME: &str = "jujubehold_replication";

/// A row of text values.
pub(crate) type TextRow = Vec<Option<String>>;

/// A connection to another instance.
#[derive(Debug)]
pub(crate) struct PgClient {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl PgClient {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let parameters = BTreeMap::from([
            ("user".to_owned(), "jujubehold".to_owned()),
            (
                "application_name".to_owned(),
                REPLICATION_APPLICATION_NAME.to_owned(),
            ),
        ]);
        writer.write_all(&startup_message(parameters)).await?;
        let mut client = Self {
            reader: FrameReader::new(reader, BytesMut::new()),
            writer,
        };
        client.read_rows().await?;
        Ok(client)
    }

    /// Runs a simple query and returns its rows.
    pub(crate) async fn query(&mut self, sql: &str) -> Result<Vec<TextRow>, FrameError> {
        self.writer.write_all(query(sql).bytes()).await?;
        self.read_rows().await
    }

    async fn read_rows(&mut self) -> Result<Vec<TextRow>, FrameError> {
        let mut rows = Vec::new();
        let mut error = None;
        loop {
            let frame = self.reader.read().await?.ok_or(FrameError::Truncated)?;
            match frame.tag() {
                backend::DATA_ROW => rows.push(text_row(frame.decode()?)),
                backend::ERROR_RESPONSE => {
                    let text = String::from_utf8_lossy(frame.body()).replace('\0', " ");
                    error = Some(FrameError::Malformed(text));
                }
                backend::READY_FOR_QUERY => return error.map_or(Ok(rows), Err),
                _ => {}
            }
        }
    }
}

fn text_row(row: DataRow) -> TextRow {
    let mut data = row.data;
    let mut values = Vec::new();
    while data.len() >= 4 {
        let Ok(length) = usize::try_from(data.get_i32()) else {
            values.push(None);
            continue;
        };
        let bytes = data.split_to(length.min(data.len()));
        values.push(Some(String::from_utf8_lossy(&bytes).into_owned()));
    }
    values
}
