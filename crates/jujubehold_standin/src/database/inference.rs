//! Infers the types of parameters and columns from a statement's text and the declarations of its
//! tables.

use std::collections::BTreeMap;

use rusqlite::Connection;
use rusqlite::types::Value;

use super::outcome::Column;
use super::sql_type::SqlType;

/// Returns the types of a statement's parameters; types that the caller specified take precedence.
pub(crate) fn parameter_types(
    connection: &Connection,
    sql: &str,
    type_oids: &[u32],
) -> Vec<SqlType> {
    let tokens = tokenize(sql);
    let declared = declared_types(connection, &tokens);
    let count = tokens
        .iter()
        .filter_map(|token| parameter_number(token))
        .max()
        .unwrap_or(0);
    let mut types = vec![None; count.max(type_oids.len())];
    for (slot, oid) in types.iter_mut().zip(type_oids) {
        *slot = SqlType::from_oid(*oid);
    }
    for (at, token) in tokens.iter().enumerate() {
        let Some(number) = parameter_number(token).filter(|number| *number > 0) else {
            continue;
        };
        if types[number - 1].is_none() {
            types[number - 1] = parameter_type_at(&tokens, at, &declared);
        }
    }
    types
        .into_iter()
        .map(|found| found.unwrap_or(SqlType::Text))
        .collect()
}

/// Returns the types of a result's columns, from their declarations or else from the values of the
/// first row.
pub(crate) fn column_types(
    declared: Vec<(String, Option<String>)>,
    first_row: Option<&Vec<Value>>,
) -> Vec<Column> {
    declared
        .into_iter()
        .enumerate()
        .map(|(index, (name, declaration))| {
            let value = first_row.and_then(|row| row.get(index));
            let sql_type = match declaration {
                Some(declaration) => SqlType::from_name(&declaration),
                None => expression_type(&name, value),
            };
            Column { name, sql_type }
        })
        .collect()
}

fn expression_type(name: &str, value: Option<&Value>) -> SqlType {
    // PostgreSQL gives an integer literal the narrower integer type.
    if !name.is_empty() && name.bytes().all(|character| character.is_ascii_digit()) {
        return SqlType::Int4;
    }
    match value {
        Some(Value::Integer(_)) => SqlType::Int8,
        Some(Value::Real(_)) => SqlType::Float8,
        Some(Value::Text(_) | Value::Blob(_)) => SqlType::Text,
        Some(Value::Null) | None => {
            let name = name.to_ascii_lowercase();
            let is_number = ["count(", "sum(", "max(", "min(", "+", "*"]
                .iter()
                .any(|part| name.contains(part));
            if is_number {
                SqlType::Int8
            } else {
                SqlType::Text
            }
        }
    }
}

fn tokenize(sql: &str) -> Vec<String> {
    let mut tokens: Vec<String> = Vec::new();
    let mut is_quoted = false;
    let mut is_in_word = false;
    for character in sql.chars() {
        if character == '\'' {
            is_quoted = !is_quoted;
            is_in_word = false;
            continue;
        }
        if is_quoted {
            continue;
        }
        let is_word = character.is_ascii_alphanumeric() || matches!(character, '_' | '$');
        if is_word && is_in_word {
            if let Some(last) = tokens.last_mut() {
                last.push(character.to_ascii_lowercase());
            }
        } else if !character.is_whitespace() && character != '"' {
            tokens.push(character.to_ascii_lowercase().to_string());
        }
        is_in_word = is_word;
    }
    tokens
}

fn parameter_number(token: &str) -> Option<usize> {
    token.strip_prefix('$')?.parse().ok()
}

/// Returns the declared types of all columns of the tables that the statement mentions.
fn declared_types(connection: &Connection, tokens: &[String]) -> BTreeMap<String, SqlType> {
    let sql = "SELECT lower(info.name), info.type FROM sqlite_master AS t, \
               pragma_table_info(t.name) AS info WHERE t.type = 'table' AND lower(t.name) = ?1";
    let mut types = BTreeMap::new();
    let Ok(mut statement) = connection.prepare(sql) else {
        return types;
    };
    for token in tokens {
        let Ok(mut rows) = statement.query([token]) else {
            continue;
        };
        while let Ok(Some(row)) = rows.next() {
            if let (Ok(name), Ok(declaration)) = (row.get(0), row.get::<_, String>(1)) {
                types.insert(name, SqlType::from_name(&declaration));
            }
        }
    }
    types
}

fn parameter_type_at(
    tokens: &[String],
    at: usize,
    declared: &BTreeMap<String, SqlType>,
) -> Option<SqlType> {
    let token = |index: Option<usize>| {
        index
            .and_then(|index| tokens.get(index))
            .map(String::as_str)
    };
    if token(Some(at + 1)) == Some(":") && token(Some(at + 2)) == Some(":") {
        return token(Some(at + 3)).map(SqlType::from_name);
    }
    if matches!(token(at.checked_sub(1)), Some("limit" | "offset")) {
        return Some(SqlType::Int8);
    }
    inserted_column(tokens, at)
        .and_then(|name| declared.get(&name).copied())
        .or_else(|| compared_type(tokens, at, declared))
}

/// Returns the column that an INSERT stores the value at token `at` in.
fn inserted_column(tokens: &[String], at: usize) -> Option<String> {
    if tokens.first()? != "insert" {
        return None;
    }
    let values = tokens
        .iter()
        .position(|token| token == "values")
        .filter(|values| *values < at)?;
    let open = tokens
        .iter()
        .position(|token| token == "(")
        .filter(|open| *open < values)?;
    let columns: Vec<&String> = tokens[open..values]
        .iter()
        .filter(|token| {
            token.len() > 1
                || token
                    .bytes()
                    .all(|character| character.is_ascii_alphabetic())
        })
        .collect();
    let mut depth = 0;
    let mut index = 0;
    for token in &tokens[values + 1..at] {
        match token.as_str() {
            "(" => {
                depth += 1;
                if depth == 1 {
                    index = 0;
                }
            }
            ")" => depth -= 1,
            "," if depth == 1 => index += 1,
            _ => {}
        }
    }
    (depth == 1)
        .then(|| columns.get(index).map(|name| (*name).clone()))
        .flatten()
}

/// Returns the type of the nearest column before or after token `at` in the same comparison.
fn compared_type(
    tokens: &[String],
    at: usize,
    declared: &BTreeMap<String, SqlType>,
) -> Option<SqlType> {
    let is_same_comparison =
        |token: &&String| !matches!(token.as_str(), "and" | "or" | "where" | "set" | ",");
    let before = tokens[..at]
        .iter()
        .rev()
        .take_while(is_same_comparison)
        .find_map(|token| declared.get(token));
    let after = || {
        tokens[at + 1..]
            .iter()
            .take_while(is_same_comparison)
            .find_map(|token| declared.get(token))
    };
    before.or_else(after).copied()
}
