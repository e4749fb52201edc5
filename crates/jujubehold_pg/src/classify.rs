//! Classification of statements by their SQL text.
//!
//! A statement that may not be a read is classified as a write; see
//! docs/notes/statement-classes.md.

use jujubehold_core::statement::StatementClass;
use sqlparser::ast::{
    CreateTable, Query, SetExpr, Statement, TransactionAccessMode, TransactionMode, UtilityOption,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::pure_functions::is_pure_before_parenthesis;

/// Returns the class of `sql`.
///
/// A single statement that can't be parsed is a write.
pub fn classify(sql: &str) -> StatementClass {
    let tokenized = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize();
    let Some(tokens) = tokenized.ok().filter(|tokens| !may_hide_text(tokens)) else {
        return classify_untokenized(sql);
    };
    if has_unsupported_statement(&tokens) {
        return StatementClass::Unsupported;
    }
    if is_session_command(&tokens) {
        return StatementClass::Session;
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return classify_unparsed(&tokens);
    };
    let classes = statements.iter().map(classify_one);
    let class = combine(classes);
    if class == StatementClass::Read && has_impure_call(&tokens) {
        return StatementClass::Write;
    }
    class
}

/// Returns the class of statements that run in sequence, in one message or one pipeline.
///
/// A sequence that goes on after a commit is unsupported, because the final reply to the caller
/// must be the reply to the commit.
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

/// Returns whether `sql` holds exactly one statement; semicolons in literals and comments do not
/// count.
pub fn is_one_statement(sql: &str) -> bool {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return false;
    };
    let statements = tokens.split(|token| *token == Token::SemiColon);
    let significant =
        statements.filter(|statement| statement.iter().any(|token| !is_whitespace(token)));
    significant.count() == 1
}

fn classify_one(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(query) if is_read_query(query) => StatementClass::Read,
        Statement::Explain {
            analyze,
            statement,
            options,
            ..
        } => {
            let mut options = options.iter().flatten();
            if *analyze || options.any(is_analyze) {
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

// Returns whether an option runs the explained statement; one that is off counts as well.
fn is_analyze(option: &UtilityOption) -> bool {
    let name = &option.name.value;
    name.eq_ignore_ascii_case("analyze") || name.eq_ignore_ascii_case("analyse")
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

// The upstream may find statements where the tokenizer fails, for example after `U&'\q' UESCAPE '!'`.
fn classify_untokenized(sql: &str) -> StatementClass {
    let mut before_failure = Vec::new();
    // The tokens before the failure are judged; the rest is not known.
    let _ = Tokenizer::new(&PostgreSqlDialect {}, sql)
        .tokenize_with_location_into_buf(&mut before_failure);
    let tokens: Vec<_> = before_failure
        .into_iter()
        .map(|token| token.token)
        .collect();
    let has_one_statement = !sql.trim_end().trim_end_matches(';').contains(';');
    if has_one_statement && !has_unsupported_statement(&tokens) {
        StatementClass::Write
    } else {
        StatementClass::Unsupported
    }
}

// The tokenizer skips a quote after a backslash in a hexadecimal string; the upstream does not.
fn may_hide_text(tokens: &[Token]) -> bool {
    let mut tokens = tokens.iter();
    tokens.any(|token| matches!(token, Token::HexStringLiteral(text) if text.contains('\'')))
}

// Several statements that can't be parsed are unsupported because a commit may be among them.
fn classify_unparsed(tokens: &[Token]) -> StatementClass {
    let mut statements = tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|statement| statement.iter().any(|token| !is_whitespace(token)));
    let _first_statement = statements.next();
    if statements.next().is_some() {
        StatementClass::Unsupported
    } else {
        StatementClass::Write
    }
}

fn is_whitespace(token: &Token) -> bool {
    matches!(token, Token::Whitespace(_))
}

fn is_word(token: Option<&Token>, text: &str) -> bool {
    matches!(token, Some(Token::Word(word)) if word.value.eq_ignore_ascii_case(text))
}

// Detects statements that leave state on a connection that the next caller would see.
fn has_unsupported_statement(tokens: &[Token]) -> bool {
    let mut starts_statement = true;
    let mut creates = false;
    let mut previous = None;
    let significant: Vec<_> = tokens
        .iter()
        .filter(|token| !is_whitespace(token))
        .collect();
    for (index, token) in significant.iter().enumerate() {
        let next = significant.get(index + 1).copied();
        if starts_statement
            && (is_unsupported_start(token, next) || explains_execute(&significant[index..]))
        {
            return true;
        }
        if starts_statement {
            creates = is_word(Some(token), "create") || is_word(Some(token), "explain");
        }
        // `CREATE TABLE … AS EXECUTE …` runs a prepared statement as well.
        if creates && is_word(Some(token), "execute") && is_word(previous, "as") {
            return true;
        }
        let is_hold = is_word(Some(token), "hold") && is_word(previous, "with");
        let is_chain = is_word(Some(token), "chain") && is_word(previous, "and");
        let is_session_lock = matches!(token, Token::Word(word)
            if word.value.to_ascii_lowercase().contains("advisory")
                && !word.value.to_ascii_lowercase().contains("xact"));
        if is_hold || is_chain || (is_session_lock && next == Some(&Token::LParen)) {
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

fn is_unsupported_start(token: &Token, next: Option<&Token>) -> bool {
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

// Returns whether a statement explains a prepared statement, which `ANALYZE` would run.
fn explains_execute(statement: &[&Token]) -> bool {
    let Some((first, mut rest)) = statement.split_first() else {
        return false;
    };
    if !is_word(Some(first), "explain") {
        return false;
    }
    if rest.first() == Some(&&Token::LParen) {
        let end = rest.iter().position(|token| **token == Token::RParen);
        rest = end.map_or(&[], |end| &rest[end + 1..]);
    }
    let options = ["analyze", "analyse", "verbose"];
    let explained = rest
        .iter()
        .find(|token| !options.iter().any(|word| is_word(Some(token), word)));
    is_word(explained.copied(), "execute")
}

fn is_session_command(tokens: &[Token]) -> bool {
    let mut significant = tokens.iter().filter(|token| !is_whitespace(token));
    let first = significant.next();
    let second = significant.next();
    if is_word(first, "set") {
        let is_transaction = ["local", "transaction", "constraints"]
            .iter()
            .any(|word| is_word(second, word));
        return !is_transaction;
    }
    is_word(first, "reset") || (is_word(first, "show") && is_word(second, "jujubehold"))
}

fn has_impure_call(tokens: &[Token]) -> bool {
    let significant: Vec<_> = tokens
        .iter()
        .filter(|token| !is_whitespace(token))
        .collect();
    significant.windows(2).enumerate().any(|(index, pair)| {
        let (Token::Word(word), Token::LParen) = (pair[0], pair[1]) else {
            return false;
        };
        let is_qualified = index > 0 && *significant[index - 1] == Token::Period;
        is_qualified || word.quote_style.is_some() || !is_pure_before_parenthesis(&word.value)
    })
}
