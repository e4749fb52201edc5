//! What a statement does, by its text.

use std::cell::RefCell;
use std::collections::BTreeMap;

use jujubehold_core::statement::StatementClass;
use smol_str::SmolStr;
use sqlparser::ast::{Query, SetExpr, Statement, TransactionAccessMode, TransactionMode};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// How many texts a classifier remembers.
const CACHE_ENTRIES: usize = 4096;

/// Classifies texts and remembers them; one for each traffic thread.
#[derive(Debug, Default)]
pub struct Classifier {
    cache: RefCell<BTreeMap<SmolStr, StatementClass>>,
}

impl Classifier {
    /// The class of `sql`.
    pub fn classify(&self, sql: &str) -> StatementClass {
        let mut cache = self.cache.borrow_mut();
        if let Some(class) = cache.get(sql) {
            return *class;
        }
        let class = classify(sql);
        if cache.len() >= CACHE_ENTRIES {
            cache.clear();
        }
        cache.insert(sql.into(), class);
        class
    }
}

/// The class of `sql`; a text of several statements, or one that can't be parsed, is a write.
pub fn classify(sql: &str) -> StatementClass {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return StatementClass::Write;
    };
    match statements.as_slice() {
        [] => StatementClass::Read,
        [statement] => classify_one(statement),
        _ => StatementClass::Write,
    }
}

fn classify_one(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(query) if is_read_query(query) => StatementClass::Read,
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            if modes.contains(&read_only) {
                StatementClass::BeginReadOnly
            } else {
                StatementClass::Begin
            }
        }
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementClass::Rollback,
        Statement::Set(_) | Statement::ShowVariable { .. } => StatementClass::Session,
        _ => StatementClass::Write,
    }
}

fn is_read_query(query: &Query) -> bool {
    let mut common_tables = query.with.iter().flat_map(|with| &with.cte_tables);
    query.locks.is_empty()
        && common_tables.all(|table| is_read_query(&table.query))
        && is_read_body(&query.body)
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => is_read_query(query),
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Values(_) => true,
        _ => false,
    }
}
