//! A caller that speaks the users' platform's protocol.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long a host may take to serve.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// A caller's session. Its connection stays open until the host or the test ends it.
pub(crate) struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a session; `None` if the host does not answer.
    pub(crate) async fn try_open(host: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect(host).await.ok()?;
        let mut caller = Self {
            stream: BufReader::new(stream),
        };
        caller.send(&format!("START {database} someone")).await;
        let line = caller.line().await?;
        line.starts_with("READY").then_some(caller)
    }

    /// Opens a session once the host serves reads.
    pub(crate) async fn open_when_served(host: SocketAddr) -> Self {
        let give_up_at = Instant::now() + START_TIMEOUT;
        loop {
            assert!(Instant::now() < give_up_at, "the host does not serve");
            if let Some(mut caller) = Self::try_open(host, "newest").await
                && is_complete(caller.query("READ x").await.as_ref())
            {
                return caller;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Opens a session.
    pub(crate) async fn open(host: SocketAddr, database: &str) -> Self {
        let caller = Self::try_open(host, database).await;
        caller.expect("the database is known")
    }

    /// Opens a session with a transaction that has written.
    pub(crate) async fn open_in_transaction(host: SocketAddr) -> Self {
        let mut caller = Self::open(host, "newest").await;
        caller.must_run("BEGIN").await;
        caller.must_run("WRITE t 1").await;
        caller
    }

    async fn send(&mut self, line: &str) {
        // A host that has ended is noticed when its answer is read.
        let line = format!("{line}\r\n");
        let _ = self.stream.get_mut().write_all(line.as_bytes()).await;
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.stream.read_line(&mut line).await;
        (read.is_ok() && line.ends_with("\r\n")).then_some(line)
    }

    /// Returns the line that says how the statement ended; `None` without a complete answer.
    pub(crate) async fn query(&mut self, text: &str) -> Option<String> {
        let id = rand::random::<u64>();
        self.query_as(&format!("{id:x}"), text).await
    }

    /// The same as [`Self::query`], with the statement's id.
    pub(crate) async fn query_as(&mut self, id: &str, text: &str) -> Option<String> {
        self.send(&format!("QUERY {id} {text}")).await;
        let (_, end) = self.reply().await?;
        end
    }

    /// Runs a read until it succeeds, and returns its row; `None` if there is not one row.
    pub(crate) async fn row(&mut self, text: &str) -> Option<String> {
        loop {
            let id = rand::random::<u64>();
            self.send(&format!("QUERY {id:x} {text}")).await;
            let (mut rows, end) = self.reply().await?;
            if is_complete(end.as_ref()) {
                let row = rows.pop();
                return row.filter(|_| rows.is_empty());
            }
        }
    }

    // Returns the rows and the line that says how the statement ended; `None` without a complete answer.
    async fn reply(&mut self) -> Option<(Vec<String>, Option<String>)> {
        let (mut rows, mut end) = (Vec::new(), None);
        loop {
            let line = self.line().await?;
            if line.starts_with("READY") {
                return Some((rows, end));
            }
            match line.strip_prefix("ROW ") {
                Some(row) => rows.push(row.trim_end().to_owned()),
                None => end = Some(line),
            }
        }
    }

    /// Runs one statement, which must succeed.
    pub(crate) async fn must_run(&mut self, text: &str) {
        let end = self.query(text).await;
        assert!(is_complete(end.as_ref()), "{text}: {end:?}");
    }
}

/// Returns whether a statement that ended in this way succeeded.
pub(crate) fn is_complete(end: Option<&String>) -> bool {
    end.is_some_and(|end| end.starts_with("COMPLETE"))
}
