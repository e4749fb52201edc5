//! What the statements of a connection do.

use std::rc::Rc;

use super::{Connection, Outcome, Transaction};
use crate::users_platform::group::{ExecutedStatement, PreparedRun};
use crate::users_platform::instance_message::Command;

impl Connection {
    /// Runs a statement and returns its result.
    pub(super) fn run(
        &mut self,
        id: &str,
        after: Option<&str>,
        text: &str,
        command: Command<'_>,
    ) -> Outcome {
        if after.is_some_and(|after| !self.has_position(after)) {
            return Outcome::Error("LAGGING");
        }
        if self.with_instance(|instance| instance.faults.loses_prepared_statements) == Some(true) {
            self.prepared_statements.clear();
        }
        let has_failed = self
            .transaction
            .as_ref()
            .is_some_and(|open| open.has_failed);
        if has_failed && !matches!(command, Command::Commit | Command::Rollback) {
            return Outcome::Error("MALFORMED");
        }
        if self.is_setup_rejected(command) {
            self.prepare_though_rejected(command);
            return Outcome::Error("MALFORMED");
        }
        match command {
            Command::Reset if self.transaction.is_some() => Outcome::Error("MALFORMED"),
            Command::Begin { is_read_only } => self.begin(is_read_only),
            Command::Commit => self.commit(id),
            Command::Rollback => {
                self.transaction = None;
                Outcome::Rows(Vec::new())
            }
            Command::Read { item } => self.read(id, text, None, item),
            Command::Write { item, data } => self.write(id, text, None, item, data),
            Command::Execute { name, arguments } => self.execute(id, text, name, arguments),
            Command::Set { name, value } => {
                self.session_values
                    .insert(name.to_owned(), value.to_owned());
                Outcome::Rows(Vec::new())
            }
            Command::Prepare {
                name,
                is_write,
                shape,
            } => {
                let statement = (is_write, shape.to_owned());
                self.prepared_statements.insert(name.to_owned(), statement);
                Outcome::Rows(Vec::new())
            }
            Command::Deallocate { name } => match self.prepared_statements.remove(name) {
                Some(_) => Outcome::Rows(Vec::new()),
                None => Outcome::Error("NOSTMT"),
            },
            Command::Reset => {
                self.session_values.clear();
                self.prepared_statements.clear();
                Outcome::Rows(Vec::new())
            }
            Command::Status
            | Command::Pause { .. }
            | Command::Resume
            | Command::StepDown { .. } => self.control(command),
        }
    }

    fn begin(&mut self, is_read_only: bool) -> Outcome {
        let is_primary = self.with_instance(|instance| instance.is_primary);
        if !is_read_only && is_primary != Some(true) {
            return Outcome::Error("RDONLY");
        }
        self.transaction = Some(Transaction {
            is_read_only,
            writes: Vec::new(),
            has_failed: false,
        });
        Outcome::Rows(Vec::new())
    }

    // Marks a read-write transaction as failed if its instance is no longer the primary; returns
    // whether it did.
    fn fail_if_demoted(&mut self) -> bool {
        let is_primary = self.with_instance(|instance| instance.is_primary);
        match &mut self.transaction {
            Some(transaction) if !transaction.is_read_only && is_primary != Some(true) => {
                transaction.has_failed = true;
                true
            }
            _ => false,
        }
    }

    fn is_rejected_as_busy(&mut self) -> bool {
        let is_rejected_as_busy = self.with_instance(|instance| {
            instance.busy_rejection_count += u32::from(instance.faults.is_busy);
            instance.faults.is_busy
        });
        is_rejected_as_busy == Some(true)
    }

    // Prepares the statement of a rejected PREPARE if a fault asks for that.
    fn prepare_though_rejected(&mut self, command: Command<'_>) {
        let is_kept = self.with_instance(|instance| instance.faults.keeps_refused_prepare);
        if let Command::Prepare {
            name,
            is_write,
            shape,
        } = command
            && is_kept == Some(true)
        {
            let statement = (is_write, shape.to_owned());
            self.prepared_statements.insert(name.to_owned(), statement);
        }
    }

    fn is_setup_rejected(&mut self, command: Command<'_>) -> bool {
        let is_rejected = self.with_instance(|instance| {
            let is_rejected = match command {
                Command::Set { .. } => instance.faults.refuses_set,
                Command::Prepare { .. } => instance.faults.refuses_prepare,
                _ => false,
            };
            instance.setup_rejection_count += u32::from(is_rejected);
            is_rejected
        });
        is_rejected == Some(true)
    }

    fn commit(&mut self, id: &str) -> Outcome {
        if self.is_rejected_as_busy() {
            return Outcome::Error("BUSY");
        }
        let has_written = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.writes.is_empty());
        if has_written && self.fail_if_demoted() {
            self.transaction = None;
            return Outcome::Error("RDONLY");
        }
        self.record_statement(id, "COMMIT", None);
        if let Some(transaction) = self.transaction.take() {
            let group = Rc::clone(&self.group);
            self.unconfirmed_commit = group.borrow_mut().commit(&self.id, transaction.writes);
        }
        Outcome::Rows(Vec::new())
    }

    fn read(&mut self, id: &str, text: &str, prepared: Option<PreparedRun>, item: &str) -> Outcome {
        if self.is_rejected_as_busy() {
            return Outcome::Error("BUSY");
        }
        if self.fail_if_demoted() {
            return Outcome::Error("RDONLY");
        }
        self.record_statement(id, text, prepared);
        let own_write = self.transaction.as_ref().and_then(|transaction| {
            let mut writes = transaction.writes.iter().rev();
            writes
                .find(|(key, _)| key == item)
                .map(|(_, value)| value.clone())
        });
        let stored = self.with_instance(|instance| instance.latest_value(item).map(str::to_owned));
        Outcome::Rows(own_write.or_else(|| stored.flatten()).into_iter().collect())
    }

    fn write(
        &mut self,
        id: &str,
        text: &str,
        prepared: Option<PreparedRun>,
        item: &str,
        data: &str,
    ) -> Outcome {
        if self.is_rejected_as_busy() {
            return Outcome::Error("BUSY");
        }
        let is_primary = self.with_instance(|instance| instance.is_primary);
        if is_primary != Some(true) || self.fail_if_demoted() {
            if let Some(transaction) = &mut self.transaction {
                transaction.has_failed = true;
            }
            return Outcome::Error("RDONLY");
        }
        self.record_statement(id, text, prepared);
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(transaction) => transaction.writes.push(write),
            None => self.unconfirmed_commit = self.group.borrow_mut().commit(&self.id, vec![write]),
        }
        Outcome::Rows(Vec::new())
    }

    fn execute(&mut self, id: &str, text: &str, name: &str, arguments: Option<&str>) -> Outcome {
        let Some((is_write, shape)) = self.prepared_statements.get(name).cloned() else {
            return Outcome::Error("NOSTMT");
        };
        let statement_text = format!("{text} of {shape}");
        let prepared = PreparedRun {
            is_write,
            shape,
            arguments: arguments.map(str::to_owned),
        };
        let fields = arguments.unwrap_or_default();
        if is_write {
            let (item, data) = fields.split_once(' ').unwrap_or((fields, ""));
            self.write(id, &statement_text, Some(prepared), item, data)
        } else {
            self.read(id, &statement_text, Some(prepared), fields)
        }
    }

    fn control(&mut self, command: Command<'_>) -> Outcome {
        if self.is_rejected_as_busy() {
            return Outcome::Error("BUSY");
        }
        let row = self.with_instance(|instance| {
            match command {
                Command::Pause { term } if !instance.is_primary => instance.pause_term = term,
                Command::Resume => instance.pause_term = 0,
                Command::StepDown { term } if instance.term < term => instance.is_primary = false,
                _ => {}
            }
            let role = if instance.is_primary {
                "primary"
            } else {
                "replica"
            };
            let (term, pause_term) = (instance.term, instance.pause_term);
            let connections = instance.connections.get();
            format!(
                "{role} {term} {} {pause_term} 0 0 {connections}",
                instance.position()
            )
        });
        Outcome::Rows(row.into_iter().collect())
    }

    fn record_statement(&mut self, id: &str, text: &str, prepared: Option<PreparedRun>) {
        let statement = ExecutedStatement {
            id: id.to_owned(),
            instance: self.id.clone(),
            connection: self.number,
            user: self.user.clone(),
            text: text.to_owned(),
            prepared,
            session_values: self
                .session_values
                .iter()
                .map(|(name, value)| format!("{name}={value}"))
                .collect(),
            in_transaction: self.transaction.is_some(),
        };
        self.group.borrow_mut().executed_statements.push(statement);
    }

    fn has_position(&mut self, position: &str) -> bool {
        let parsed = position
            .split_once('.')
            .and_then(|(term, number)| Some((term.parse().ok()?, number.parse().ok()?)));
        let Some((term, number)) = parsed else {
            return false;
        };
        self.with_instance(|instance| instance.has_position(term, number)) == Some(true)
    }
}
