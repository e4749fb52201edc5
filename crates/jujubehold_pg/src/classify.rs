//! What a statement does, by its text.
//!
//! Whatever is unsure counts as a write; see docs/notes/statement-classes.md.

use jujubehold_core::statement::StatementClass;
use sqlparser::ast::{
    CreateTable, Query, SetExpr, Statement, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::pure_functions::is_pure_before_parenthesis;

/// The class of `sql`; a text that can't be parsed is a write.
pub fn classify(sql: &str) -> StatementClass {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return StatementClass::Write;
    };
    if is_unsupported_text(&tokens) {
        return StatementClass::Unsupported;
    }
    if is_session_command(&tokens) {
        return StatementClass::Session;
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return class_of_unparsed(&tokens);
    };
    let classes = statements.iter().map(classify_one);
    let class = combine(classes);
    if class == StatementClass::Read && has_impure_call(&tokens) {
        return StatementClass::Write;
    }
    class
}

/// The class of statements that run one after the other, as one message or one pipeline.
///
/// A commit must come last, so that what the caller is told after it is the commit's own answer.
pub fn combine(classes: impl IntoIterator<Item = StatementClass>) -> StatementClass {
    let mut combined = None;
    for class in classes {
        combined = Some(match (combined, class) {
            (_, StatementClass::Unsupported)
            | (Some(StatementClass::Unsupported | StatementClass::Commit), _) => {
                StatementClass::Unsupported
            }
            (None, class) => class,
            (Some(StatementClass::Read), StatementClass::Read) => StatementClass::Read,
            (Some(_), StatementClass::Commit) => StatementClass::Commit,
            (Some(_), StatementClass::Session) | (Some(StatementClass::Session), _) => {
                StatementClass::Unsupported
            }
            (Some(_), _) => StatementClass::Write,
        });
    }
    combined.unwrap_or(StatementClass::Read)
}

/// Whether `sql` is one statement, whatever its texts and comments hold.
pub fn is_one_statement(sql: &str) -> bool {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return false;
    };
    let pieces = tokens.split(|token| *token == Token::SemiColon);
    let solid = pieces.filter(|piece| piece.iter().any(|token| !is_blank(token)));
    solid.count() == 1
}

fn classify_one(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(query) if is_read_query(query) => StatementClass::Read,
        Statement::Explain {
            analyze, statement, ..
        } => {
            if *analyze {
                classify_one(statement)
            } else {
                StatementClass::Read
            }
        }
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            if modes.contains(&read_only) {
                StatementClass::BeginReadOnly
            } else {
                StatementClass::Begin
            }
        }
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            StatementClass::Unsupported
        }
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementClass::Rollback,
        Statement::ShowVariable { .. } => StatementClass::Read,
        Statement::CreateTable(CreateTable {
            temporary: true, ..
        })
        | Statement::Copy { .. }
        | Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. }
        | Statement::Discard { .. }
        | Statement::Declare { .. } => StatementClass::Unsupported,
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

// A text of several statements that can't be read might hide a commit among them.
fn class_of_unparsed(tokens: &[Token]) -> StatementClass {
    let mut pieces = tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|piece| piece.iter().any(|token| !is_blank(token)));
    let _first = pieces.next();
    if pieces.next().is_some() {
        StatementClass::Unsupported
    } else {
        StatementClass::Write
    }
}

fn is_blank(token: &Token) -> bool {
    matches!(token, Token::Whitespace(_))
}

fn is_word(token: Option<&Token>, text: &str) -> bool {
    matches!(token, Some(Token::Word(word)) if word.value.eq_ignore_ascii_case(text))
}

// What leaves state on a connection that the next caller would find.
fn is_unsupported_text(tokens: &[Token]) -> bool {
    let mut starts_statement = true;
    let mut previous = None;
    let solid: Vec<_> = tokens.iter().filter(|token| !is_blank(token)).collect();
    for (index, token) in solid.iter().enumerate() {
        let next = solid.get(index + 1).copied();
        if starts_statement && starts_unsupported(token, next) {
            return true;
        }
        let is_hold = is_word(Some(token), "hold") && is_word(previous, "with");
        let is_chain = is_word(Some(token), "chain") && is_word(previous, "and");
        let is_lock = matches!(token, Token::Word(word)
            if word.value.to_ascii_lowercase().contains("advisory")
                && !word.value.to_ascii_lowercase().contains("xact"));
        if is_hold || is_chain || (is_lock && next == Some(&Token::LParen)) {
            return true;
        }
        let is_set_config = is_word(Some(token), "set_config");
        if is_set_config && next == Some(&Token::LParen) {
            return true;
        }
        starts_statement = **token == Token::SemiColon;
        previous = Some(*token);
    }
    false
}

fn starts_unsupported(token: &Token, next: Option<&Token>) -> bool {
    let Token::Word(word) = token else {
        return false;
    };
    match word.value.to_ascii_lowercase().as_str() {
        "listen" | "unlisten" | "notify" | "load" | "deallocate" | "discard" | "prepare"
        | "execute" | "copy" => true,
        "create" => ["temp", "temporary", "local", "global"]
            .iter()
            .any(|kind| is_word(next, kind)),
        "commit" | "rollback" => is_word(next, "prepared"),
        _ => false,
    }
}

fn is_session_command(tokens: &[Token]) -> bool {
    let mut solid = tokens.iter().filter(|token| !is_blank(token));
    let first = solid.next();
    let second = solid.next();
    if is_word(first, "set") {
        let is_transaction = ["local", "transaction", "constraints"]
            .iter()
            .any(|word| is_word(second, word));
        return !is_transaction;
    }
    is_word(first, "reset") || (is_word(first, "show") && is_word(second, "jujubehold"))
}

fn has_impure_call(tokens: &[Token]) -> bool {
    let solid: Vec<_> = tokens.iter().filter(|token| !is_blank(token)).collect();
    solid.windows(2).enumerate().any(|(index, pair)| {
        let (Token::Word(word), Token::LParen) = (pair[0], pair[1]) else {
            return false;
        };
        let is_qualified = index > 0 && *solid[index - 1] == Token::Period;
        is_qualified || word.quote_style.is_some() || !is_pure_before_parenthesis(&word.value)
    })
}
