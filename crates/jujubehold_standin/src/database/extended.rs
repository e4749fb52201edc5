//! The extended query protocol: prepared statements and portals.

use std::collections::BTreeMap;

use jujubehold_pg::{Frame, FrameError, command_complete, frontend};
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended,
};
use pgwire::messages::response::EmptyQueryResponse;
use rusqlite::types::Value;

use super::executor::Description;
use super::outcome::{Column, Outcome, data_row, is_binary, row_description};
use super::session::Session;
use super::sql_error::SqlError;
use super::sql_type::SqlType;
use super::statement_kind::StatementKind;
use super::statement_run::StatementRun;

/// The prepared statements and portals of one connection.
#[derive(Debug, Default)]
pub(crate) struct ExtendedState {
    statements: BTreeMap<String, PreparedStatement>,
    portals: BTreeMap<String, Portal>,
    /// Whether a message failed, so that all messages up to the next sync are skipped.
    is_skipping_until_sync: bool,
}

impl ExtendedState {
    /// Removes all prepared statements.
    pub(crate) fn forget_statements(&mut self) {
        self.statements.clear();
    }
}

#[derive(Debug, Clone)]
struct PreparedStatement {
    sql: String,
    description: Description,
    prepared_under: BTreeMap<String, String>,
}

#[derive(Debug)]
struct Portal {
    sql: String,
    columns: Vec<Column>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// The statement as it is recorded when the portal runs.
    run: StatementRun,
    /// The part of the result that has not been sent yet; `None` before the portal is executed.
    outcome: Option<Outcome>,
}

impl Session {
    /// Processes one message of the extended protocol.
    pub(crate) async fn run_extended(&mut self, frame: &Frame) -> Result<(), FrameError> {
        match frame.tag() {
            frontend::SYNC => {
                self.extended.is_skipping_until_sync = false;
                return self.send_ready().await;
            }
            frontend::FLUSH => return self.flush().await,
            _ if self.extended.is_skipping_until_sync => return Ok(()),
            _ => {}
        }
        let result = match frame.tag() {
            frontend::PARSE => self.parse(frame.decode()?),
            frontend::BIND => self.bind(frame.decode()?),
            frontend::DESCRIBE => self.describe(&frame.decode()?),
            frontend::EXECUTE => self.execute(&frame.decode()?).await,
            frontend::CLOSE => {
                self.close(&frame.decode()?);
                Ok(())
            }
            tag => Err(SqlError::new(
                "08P01",
                format!("message {tag} is not supported"),
            )),
        };
        if let Err(error) = result {
            self.buffer_frame(&error.frame("ERROR"));
            self.abort_after_error();
            self.extended.is_skipping_until_sync = true;
        }
        Ok(())
    }

    fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.extended.statements.contains_key(&name) {
            let message = format!("prepared statement {name} already exists");
            return Err(SqlError::new("42P05", message));
        }
        self.check_not_aborted(&StatementKind::classify(&parse.query))?;
        let description = match StatementKind::classify(&parse.query) {
            StatementKind::Sql => self.executor.describe(&parse.query, &parse.type_oids)?,
            StatementKind::Group(_) => without_parameters(&["group_status"]),
            StatementKind::Sleep(_) => without_parameters(&["pg_sleep"]),
            StatementKind::Show(name) => without_parameters(&[&name]),
            _ => without_parameters(&[]),
        };
        let prepared = PreparedStatement {
            sql: parse.query,
            description,
            prepared_under: self.settings.clone(),
        };
        self.extended.statements.insert(name, prepared);
        self.buffer_frame(&Frame::encode(&ParseComplete::new()));
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.prepared(&name)?.clone();
        self.check_not_aborted(&StatementKind::classify(&prepared.sql))?;
        let types = &prepared.description.parameters;
        if types.len() != bind.parameters.len() {
            let message = format!(
                "{} parameters are taken, {} given",
                types.len(),
                bind.parameters.len()
            );
            return Err(SqlError::new("08P01", message));
        }
        let mut parameters = Vec::new();
        for (index, (value, sql_type)) in bind.parameters.iter().zip(types).enumerate() {
            let is_binary = is_binary(&bind.parameter_format_codes, index);
            parameters.push(match value {
                Some(bytes) => sql_type.read(bytes, is_binary)?,
                None => Value::Null,
            });
        }
        let sent = bind.parameters.iter();
        let run = StatementRun {
            name,
            sql: prepared.sql.clone(),
            parameters: sent
                .map(|value| value.as_ref().map(|bytes| bytes.to_vec()))
                .collect(),
            prepared_under: prepared.prepared_under,
            ran_under: BTreeMap::new(),
        };
        let portal = Portal {
            run,
            sql: prepared.sql,
            columns: prepared.description.columns,
            parameters,
            formats: bind.result_column_format_codes,
            outcome: None,
        };
        self.extended
            .portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.buffer_frame(&Frame::encode(&BindComplete::new()));
        Ok(())
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), SqlError> {
        let name = describe.name.clone().unwrap_or_default();
        let (columns, formats) = if describe.target_type == b'S' {
            let description = self.prepared(&name)?.description.clone();
            let oids = description
                .parameters
                .iter()
                .map(|sql_type| sql_type.oid())
                .collect();
            self.buffer_frame(&Frame::encode(&ParameterDescription::new(oids)));
            (description.columns, Vec::new())
        } else {
            let portal = self.portal(&name)?;
            (portal.columns.clone(), portal.formats.clone())
        };
        if columns.is_empty() {
            self.buffer_frame(&Frame::encode(&NoData::new()));
        } else {
            self.buffer_frame(&row_description(&columns, &formats));
        }
        Ok(())
    }

    async fn execute(&mut self, execute: &Execute) -> Result<(), SqlError> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self
            .extended
            .portals
            .remove(&name)
            .ok_or_else(|| SqlError::new("34000", format!("no portal named {name}")))?;
        let mut outcome = if let Some(outcome) = portal.outcome.take() {
            outcome
        } else {
            self.shared.record_run(StatementRun {
                ran_under: self.settings.clone(),
                ..portal.run.clone()
            });
            self.run_statement(&portal.sql, &portal.parameters).await?
        };
        let limit = usize::try_from(execute.max_rows).unwrap_or(0);
        let count = if limit == 0 {
            outcome.rows.len()
        } else {
            limit.min(outcome.rows.len())
        };
        for row in outcome.rows.drain(..count) {
            let frame = data_row(&portal.columns, &row, &portal.formats);
            self.buffer_frame(&frame);
            self.flush_when_full().await?;
        }
        let end = if !outcome.rows.is_empty() {
            Frame::encode(&PortalSuspended::new())
        } else if outcome.tag.is_empty() {
            Frame::encode(&EmptyQueryResponse::new())
        } else {
            command_complete(&outcome.tag)
        };
        self.buffer_frame(&end);
        portal.outcome = Some(outcome);
        self.extended.portals.insert(name, portal);
        Ok(())
    }

    fn close(&mut self, close: &Close) {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            self.extended.statements.remove(&name);
        } else {
            self.extended.portals.remove(&name);
        }
        self.buffer_frame(&Frame::encode(&CloseComplete::new()));
    }

    fn prepared(&self, name: &str) -> Result<&PreparedStatement, SqlError> {
        self.extended
            .statements
            .get(name)
            .ok_or_else(|| SqlError::new("26000", format!("no prepared statement named {name}")))
    }

    fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        self.extended
            .portals
            .get(name)
            .ok_or_else(|| SqlError::new("34000", format!("no portal named {name}")))
    }
}

fn without_parameters(columns: &[&str]) -> Description {
    let columns = columns
        .iter()
        .map(|name| Column {
            name: (*name).to_owned(),
            sql_type: SqlType::Text,
        })
        .collect();
    Description {
        parameters: Vec::new(),
        columns,
    }
}
