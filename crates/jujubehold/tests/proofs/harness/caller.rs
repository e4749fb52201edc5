//! A caller of one host, which reads the verdict out of what it is told.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use super::installation::SERVICE;

/// After how long a caller gives up, as if its own patience were over.
const PATIENCE: Duration = Duration::from_secs(15);

/// The SQLSTATE with which a host that leaves ends a session between transactions.
const SHUTTING_DOWN: &str = "57P01";

/// The detail of that notice, once it came.
type Notice = Rc<RefCell<Option<String>>>;

/// What a caller was told of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Answer {
    /// It ran, with the rows it returned.
    Ran(Vec<Vec<String>>),
    /// The host says that it did not run and never will, with the SQLSTATE and the detail.
    NotRun(String, String),
    /// It may have run.
    Unknown(String),
    /// The upstream's own error, which changes nothing.
    Failed(String),
}

impl Answer {
    pub(crate) fn is_ran(&self) -> bool {
        matches!(self, Self::Ran(_))
    }

    /// The first value of the first row.
    pub(crate) fn value(&self) -> Option<&str> {
        match self {
            Self::Ran(rows) => rows.first()?.first().map(String::as_str),
            _ => None,
        }
    }
}

/// A caller with at most one connection, opened when it is needed.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) address: SocketAddr,
    service: &'static str,
    client: Option<Client>,
    /// What ended the connection, once it has ended.
    notice: Notice,
    /// The session's token, presented on each new connection.
    pub(crate) token: Option<String>,
    last_note: String,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            service: SERVICE,
            client: None,
            notice: Notice::default(),
            token: None,
            last_note: String::new(),
        }
    }

    /// The same for another service.
    pub(crate) fn of_service(self, service: &'static str) -> Self {
        Self { service, ..self }
    }

    /// Goes on at another host with the session's token.
    pub(crate) fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.client = None;
    }

    /// Runs a simple query.
    pub(crate) async fn run(&mut self, sql: &str) -> Answer {
        let Some(client) = self.client().await else {
            return Answer::NotRun("connect".to_owned(), "no connection".to_owned());
        };
        let answer = match tokio::time::timeout(PATIENCE, client.simple_query(sql)).await {
            Ok(Ok(messages)) => Answer::Ran(rows_of(&messages)),
            Ok(Err(error)) => self.read_error(&error),
            Err(_) => {
                self.client = None;
                Answer::Unknown("the caller lost its patience".to_owned())
            }
        };
        self.note(sql, &answer);
        answer
    }

    /// Runs a simple query of a transaction, which a connection that was lost has ended.
    pub(crate) async fn run_in_transaction(&mut self, sql: &str) -> Answer {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            self.client = None;
            return Answer::Unknown(format!("the connection was closed before {sql}"));
        }
        self.run(sql).await
    }

    /// Prints what a failed test's output needs: each answer that is new.
    fn note(&mut self, sql: &str, answer: &Answer) {
        let text = match answer {
            Answer::Ran(_) => "ran".to_owned(),
            other => format!("{other:?}"),
        };
        if self.last_note != text {
            eprintln!("{} {sql}: {text}", self.address);
            self.last_note = text;
        }
    }

    /// Runs a write and keeps the token that follows it.
    pub(crate) async fn write(&mut self, sql: &str) -> Answer {
        let answer = self.run(sql).await;
        if answer.is_ran() {
            self.keep_token().await;
        }
        answer
    }

    /// Runs a simple query that must succeed.
    pub(crate) async fn must_run(&mut self, sql: &str) {
        let answer = self.run(sql).await;
        assert!(answer.is_ran(), "{sql}: {answer:?}");
    }

    /// Opens a transaction; a host may refuse this for the moment, as nothing has run.
    pub(crate) async fn must_begin(&mut self) {
        super::until("a transaction opens", async || {
            match self.run("BEGIN").await {
                Answer::Ran(_) => true,
                Answer::NotRun(..) => false,
                other => panic!("BEGIN: {other:?}"),
            }
        })
        .await;
    }

    /// Runs a write that must succeed, and keeps the token that follows it.
    pub(crate) async fn must_write(&mut self, sql: &str) {
        let answer = self.write(sql).await;
        assert!(answer.is_ran(), "{sql}: {answer:?}");
    }

    /// Asks for the session's token and keeps it.
    pub(crate) async fn keep_token(&mut self) {
        let answer = self.run("SHOW jujubehold.session").await;
        if let Some(token) = answer.value().filter(|token| !token.is_empty()) {
            self.token = Some(token.to_owned());
        }
    }

    /// The client below, with the token presented.
    pub(crate) async fn client(&mut self) -> Option<&Client> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            self.notice = Notice::default();
            let notice = Rc::clone(&self.notice);
            let token = self.token.as_deref();
            self.client = open(self.address, self.service, token, notice).await;
        }
        self.client.as_ref()
    }

    /// Leaves without a word.
    pub(crate) fn vanish(&mut self) {
        self.client = None;
    }

    fn read_error(&mut self, error: &tokio_postgres::Error) -> Answer {
        let Some(known) = error.as_db_error() else {
            self.client = None;
            // The library tells a request that came after the notice only that it was closed.
            return match self.notice.take() {
                Some(detail) => Answer::NotRun(SHUTTING_DOWN.to_owned(), detail),
                None => Answer::Unknown(error.to_string()),
            };
        };
        let code = known.code().code().to_owned();
        let detail = known.detail().unwrap_or_default().to_owned();
        if detail.contains("verdict=not_run") {
            return Answer::NotRun(code, detail);
        }
        if code == "08007" || detail.contains("verdict=unknown") {
            return Answer::Unknown(format!("{code} {detail}"));
        }
        Answer::Failed(format!("{code} {}", known.message()))
    }
}

async fn open(
    address: SocketAddr,
    service: &str,
    token: Option<&str>,
    notice: Notice,
) -> Option<Client> {
    let text = format!(
        "host={} port={} user=clerk dbname={service} connect_timeout=5",
        address.ip(),
        address.port()
    );
    let connect = tokio_postgres::connect(&text, NoTls);
    let (client, connection) = tokio::time::timeout(PATIENCE, connect).await.ok()?.ok()?;
    actix_rt::spawn(async move {
        // A connection that a test cuts ends with an error of another kind.
        let end = connection.await.err();
        let told = end.as_ref().and_then(tokio_postgres::Error::as_db_error);
        if let Some(told) = told.filter(|told| told.code().code() == SHUTTING_DOWN) {
            notice.replace(Some(told.detail().unwrap_or_default().to_owned()));
        }
    });
    if let Some(token) = token {
        let sql = format!("SET jujubehold.session = '{token}'");
        tokio::time::timeout(PATIENCE, client.simple_query(&sql))
            .await
            .ok()?
            .ok()?;
    }
    Some(client)
}

fn rows_of(messages: &[SimpleQueryMessage]) -> Vec<Vec<String>> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    rows.map(|row| {
        (0..row.len())
            .map(|index| row.get(index).unwrap_or_default().to_owned())
            .collect()
    })
    .collect()
}
