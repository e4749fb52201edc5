//! Splits queries into statements, and rewrites PostgreSQL syntax that `SQLite` does not support.

use std::time::{SystemTime, UNIX_EPOCH};

/// Splits a simple query into its statements, with respect to quotes and comments.
pub(crate) fn split_statements(sql: &str) -> Vec<String> {
    let mut statements = Vec::new();
    let mut current = String::new();
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        let length = token_length(rest, first);
        let (token, after) = rest.split_at(length);
        rest = after;
        if token == ";" {
            push_statement(&mut statements, &current);
            current.clear();
        } else if token.starts_with("--") || token.starts_with("/*") {
            current.push(' ');
        } else {
            current.push_str(token);
        }
    }
    push_statement(&mut statements, &current);
    statements
}

fn push_statement(statements: &mut Vec<String>, text: &str) {
    if !text.trim().is_empty() {
        statements.push(text.trim().to_owned());
    }
}

/// Returns the length in bytes of the quoted text, comment or character that `text` starts with.
fn token_length(text: &str, first: char) -> usize {
    let ending = |from: usize, end: &str| text[from..].find(end).map(|at| from + at + end.len());
    let length = match first {
        '\'' => ending(1, "'"),
        '"' => ending(1, "\""),
        '-' if text.starts_with("--") => ending(2, "\n"),
        '/' if text.starts_with("/*") => ending(2, "*/"),
        _ => Some(first.len_utf8()),
    };
    length.unwrap_or(text.len())
}

/// The PostgreSQL expression for the current time in seconds since the epoch.
const EPOCH_NOW: &str = "extract(epoch from now())";

/// Replaces [`EPOCH_NOW`] by the current time, because replicas run the same statement later.
pub(crate) fn with_current_time(sql: &str) -> String {
    if !sql.contains(EPOCH_NOW) {
        return sql.to_owned();
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_s = since_epoch.unwrap_or_default().as_secs();
    sql.replace(EPOCH_NOW, &now_s.to_string())
}

/// Removes casts, row locks and the `public` schema, which `SQLite` does not support.
pub(crate) fn without_postgres_syntax(sql: &str) -> String {
    let mut text = String::with_capacity(sql.len());
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        if let Some(after) = rest.strip_prefix("::") {
            let end = after
                .find(|character: char| !character.is_ascii_alphanumeric() && character != '_')
                .unwrap_or(after.len());
            rest = &after[end..];
            continue;
        }
        let is_name_start = !text.ends_with(|last: char| last.is_alphanumeric() || last == '_');
        if let Some(after) = rest.strip_prefix("public.").filter(|_| is_name_start) {
            rest = after;
            continue;
        }
        let (token, after) = rest.split_at(token_length(rest, first));
        text.push_str(token);
        rest = after;
    }
    let lock = text.to_ascii_lowercase().rfind(" for update");
    if let Some(at) = lock.filter(|at| text[*at..].trim_end().len() == " for update".len()) {
        text.truncate(at);
    }
    text
}

/// Returns the first word in upper case, as command tags contain it.
pub(crate) fn first_word(sql: &str) -> String {
    sql.trim_start()
        .chars()
        .take_while(char::is_ascii_alphabetic)
        .collect::<String>()
        .to_ascii_uppercase()
}
