//! Statements as texts: cutting a query into them, and the few PostgreSQL forms that the SQL
//! library does not know.

use std::time::{SystemTime, UNIX_EPOCH};

/// Cuts a simple query into its statements, minding quotes and comments.
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

/// The bytes of the quoted text, comment or single character that `text` starts with.
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

/// How PostgreSQL's callers ask for the time in seconds.
const EPOCH_NOW: &str = "extract(epoch from now())";

/// The text with the time in place of the call for it, since a commit's texts run on replicas too.
pub(crate) fn with_current_time(sql: &str) -> String {
    if !sql.contains(EPOCH_NOW) {
        return sql.to_owned();
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_s = since_epoch.unwrap_or_default().as_secs();
    sql.replace(EPOCH_NOW, &now_s.to_string())
}

/// The text as the SQL library takes it: without casts, row locks and PostgreSQL's own schema.
pub(crate) fn without_postgres_syntax(sql: &str) -> String {
    let mut text = String::with_capacity(sql.len());
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        if let Some(after) = rest.strip_prefix("::") {
            let end = after
                .find(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_')
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

/// The first word in capitals, as command tags start with it.
pub(crate) fn first_word(sql: &str) -> String {
    sql.trim_start()
        .chars()
        .take_while(char::is_ascii_alphabetic)
        .collect::<String>()
        .to_ascii_uppercase()
}
