//! The line protocol that the instances of a group speak.

mod statements;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::group::Group;
use super::instance_message::{Command, InstanceMessage, NO_ID, strip_line_end};

/// How often a connection checks the faults of its instance.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts and serves the connections of the instance with this id.
pub(crate) async fn serve_instance(listener: TcpListener, group: Rc<RefCell<Group>>, id: String) {
    while let Ok((stream, _)) = listener.accept().await {
        let connection = Connection::new(Rc::clone(&group), id.clone());
        actix_rt::spawn(connection.serve(stream));
    }
}

#[derive(Debug)]
struct Connection {
    group: Rc<RefCell<Group>>,
    id: String,
    number: u64,
    /// The customer or host that opened the connection.
    user: String,
    session_values: BTreeMap<String, String>,
    prepared_statements: BTreeMap<String, (bool, String)>,
    transaction: Option<Transaction>,
    /// The number of a commit that replicas may not have received yet.
    unconfirmed_commit: Option<usize>,
    is_in_connection_count: bool,
}

#[derive(Debug)]
struct Transaction {
    is_read_only: bool,
    writes: Vec<(String, String)>,
    has_failed: bool,
}

/// The result of a statement: its rows, or an error code.
enum Outcome {
    Rows(Vec<String>),
    Error(&'static str),
}

/// The connection closes without an answer.
struct ConnectionAborted;

impl Connection {
    fn new(group: Rc<RefCell<Group>>, id: String) -> Self {
        let number = {
            let mut group = group.borrow_mut();
            group.accepted_connections += 1;
            group.accepted_connections
        };
        Self {
            group,
            id,
            number,
            user: String::new(),
            session_values: BTreeMap::new(),
            prepared_statements: BTreeMap::new(),
            transaction: None,
            unconfirmed_commit: None,
            is_in_connection_count: false,
        }
    }

    async fn serve(mut self, stream: TcpStream) {
        if self.is_dead() {
            return;
        }
        let (read, write) = stream.into_split();
        let group = Rc::clone(&self.group);
        let id = self.id.clone();
        let instance_death = async {
            while !is_dead(&group, &id) {
                actix_rt::time::sleep(FAULT_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = self.serve_messages(BufReader::new(read), write) => {}
            () = instance_death => {}
        }
        self.release_connection();
    }

    async fn serve_messages(
        &mut self,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let mut line = Vec::new();
        while let Ok(1..) = read.read_until(b'\n', &mut line).await {
            while self.is_unresponsive() {
                actix_rt::time::sleep(FAULT_POLL_INTERVAL).await;
            }
            let bytes = std::mem::take(&mut line);
            let Some(message) = strip_line_end(&bytes).and_then(InstanceMessage::parse) else {
                self.record_unreadable(&String::from_utf8_lossy(&bytes));
                return;
            };
            if matches!(message, InstanceMessage::Start { .. }) {
                self.wait_for_connection_setup().await;
            }
            self.wait_for_work(&message).await;
            let Ok(answer) = self.answer(message) else {
                return;
            };
            if !self.wait_until_confirmed().await {
                return;
            }
            let is_refused = answer.starts_with("ERROR") && !answer.contains("READY");
            if write.write_all(answer.as_bytes()).await.is_err() || is_refused {
                return;
            }
        }
    }

    async fn wait_for_work(&self, message: &InstanceMessage<'_>) {
        let work_time = self.with_instance(|instance| instance.faults.work_time);
        if let Some(work_time) = work_time.filter(|_| message.is_work()) {
            actix_rt::time::sleep(work_time).await;
        }
    }

    async fn wait_for_connection_setup(&self) {
        self.with_instance(|instance| instance.opening_count += 1);
        while self.with_instance(|instance| instance.faults.stalls_connection_setup) == Some(true) {
            actix_rt::time::sleep(FAULT_POLL_INTERVAL).await;
        }
        self.with_instance(|instance| instance.opening_count -= 1);
    }

    // Returns `false` if the commit is no longer in the log: its outcome is unknown.
    async fn wait_until_confirmed(&mut self) -> bool {
        let Some(number) = self.unconfirmed_commit.take() else {
            return true;
        };
        loop {
            let is_confirmed = self.group.borrow().is_confirmed(&self.id, number);
            match is_confirmed {
                Some(false) => actix_rt::time::sleep(FAULT_POLL_INTERVAL).await,
                Some(true) => return true,
                None => return false,
            }
        }
    }

    fn answer(&mut self, message: InstanceMessage<'_>) -> Result<String, ConnectionAborted> {
        if self.is_dead() {
            return Err(ConnectionAborted);
        }
        match message {
            InstanceMessage::Start {
                service,
                user,
                instance,
            } => Ok(self.start(service, user, instance)),
            InstanceMessage::Query { id, after, text } => self.query(id, after, text),
            InstanceMessage::Terminate => Err(ConnectionAborted),
        }
    }

    fn record_unreadable(&self, message: &str) {
        let mut group = self.group.borrow_mut();
        group.unreadable_messages.push(message.to_owned());
    }

    fn start(&mut self, service: &str, user: &str, instance: &str) -> String {
        let group = self.group.borrow();
        let is_service = group.service == service;
        let max = group.max_connections;
        drop(group);
        if !is_service || instance != self.id {
            return "ERROR WRONGNODE\r\n".to_owned();
        }
        user.clone_into(&mut self.user);
        let mut group = self.group.borrow_mut();
        if !group.knows(&self.user) {
            return "ERROR NOAUTH\r\n".to_owned();
        }
        let Some(instance) = group.instance(&self.id) else {
            return "ERROR WRONGNODE\r\n".to_owned();
        };
        if instance.connections.get() >= max {
            return "ERROR CONNLIMIT\r\n".to_owned();
        }
        instance.connections.set(instance.connections.get() + 1);
        self.is_in_connection_count = true;
        format!("READY I {}\r\n", instance.position())
    }

    fn query(
        &mut self,
        id: &str,
        after: Option<&str>,
        text: &str,
    ) -> Result<String, ConnectionAborted> {
        let command = Command::parse(text);
        if id == NO_ID && !command.is_some_and(Command::is_of_hosts) {
            self.record_unreadable(text);
        }
        let outcome = match command {
            Some(command) => self.run(id, after, text, command),
            None => Outcome::Error("MALFORMED"),
        };
        let changes_data = matches!(command, Some(Command::Write { .. } | Command::Commit));
        let loses_answer = self
            .with_instance(|instance| instance.faults.loses_answers)
            .unwrap_or(false);
        if changes_data && loses_answer {
            return Err(ConnectionAborted);
        }
        let mut answer = String::new();
        let omits_outcome = self
            .with_instance(|instance| instance.faults.omits_outcome)
            .unwrap_or(false);
        // Writing to a string cannot fail.
        let _ = match outcome {
            Outcome::Rows(rows) => {
                for row in rows {
                    let _ = write!(answer, "ROW {row}\r\n");
                }
                let proof = if id == NO_ID {
                    NO_ID.to_owned()
                } else {
                    let padding =
                        self.with_instance(|instance| instance.faults.proof_padding_bytes);
                    format!("{}.{id}{}", self.id, "0".repeat(padding.unwrap_or(0)))
                };
                if omits_outcome && id != NO_ID {
                    Ok(())
                } else {
                    write!(answer, "COMPLETE {proof}\r\n")
                }
            }
            Outcome::Error(code) => write!(answer, "ERROR {code} {}\r\n", self.id),
        };
        let position = self
            .with_instance(|instance| instance.position())
            .unwrap_or_default();
        let _ = write!(answer, "READY {} {position}\r\n", self.state());
        Ok(answer)
    }

    fn state(&self) -> &'static str {
        match &self.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        }
    }

    fn with_instance<T>(&self, act: impl FnOnce(&mut super::Instance) -> T) -> Option<T> {
        self.group.borrow_mut().instance(&self.id).map(act)
    }

    fn is_dead(&self) -> bool {
        is_dead(&self.group, &self.id)
    }

    fn is_unresponsive(&self) -> bool {
        self.with_instance(|instance| instance.faults.is_unresponsive) == Some(true)
    }

    fn release_connection(&mut self) {
        if self.is_in_connection_count {
            self.with_instance(|instance| {
                instance.connections.set(instance.connections.get() - 1);
            });
        }
    }
}

fn is_dead(group: &Rc<RefCell<Group>>, id: &str) -> bool {
    let mut group = group.borrow_mut();
    group
        .instance(id)
        .is_none_or(|instance| instance.faults.is_dead)
}
