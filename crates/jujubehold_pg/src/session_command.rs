//! Commands that show, set or reset a setting of the session.

use smol_str::SmolStr;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// A command on one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionCommand {
    /// `SHOW name`.
    Show(SmolStr),
    /// `SET name = value`, or `SET name TO value`.
    Set {
        /// The setting's name in lower case.
        name: SmolStr,
        /// The value, without quotes.
        value: SmolStr,
        /// The value as written in SQL; empty if it contains anything but names, strings and
        /// numbers, joined by commas and minus signs. Spaces stand between them, so that none
        /// begins a comment or becomes part of another.
        sql_value: SmolStr,
    },
    /// `RESET name`.
    Reset(SmolStr),
}

impl SessionCommand {
    /// Parses a command, or returns `None` if `sql` is not one.
    pub fn parse(sql: &str) -> Option<Self> {
        let mut tokens = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize().ok()?;
        tokens.retain(|token| !matches!(token, Token::Whitespace(_)));
        while tokens.last() == Some(&Token::SemiColon) {
            tokens.pop();
        }
        if tokens.contains(&Token::SemiColon) {
            return None;
        }
        let mut tokens = tokens.into_iter().peekable();
        let verb = lowercase_word(tokens.next()?)?;
        let mut name = lowercase_word(tokens.next()?)?;
        if verb == "set" && name == "session" && matches!(tokens.peek(), Some(Token::Word(_))) {
            name = lowercase_word(tokens.next()?)?;
        }
        while tokens.peek() == Some(&Token::Period) {
            tokens.next();
            name = format!("{name}.{}", lowercase_word(tokens.next()?)?);
        }
        let name = SmolStr::from(name);
        match verb.as_str() {
            "show" => Some(Self::Show(name)),
            "reset" => Some(Self::Reset(name)),
            "set" => {
                let equals = tokens.next()?;
                let is_to =
                    matches!(&equals, Token::Word(to) if to.value.eq_ignore_ascii_case("to"));
                if equals != Token::Eq && !is_to {
                    return None;
                }
                let tokens: Vec<_> = tokens.collect();
                let is_plain = tokens.iter().all(is_plain_value);
                let sql_value = tokens.iter().map(sql_text).collect::<Vec<_>>().join(" ");
                let value = tokens.into_iter().map(value_text).collect::<String>();
                Some(Self::Set {
                    name,
                    value: value.into(),
                    sql_value: if is_plain {
                        sql_value.into()
                    } else {
                        SmolStr::default()
                    },
                })
            }
            _ => None,
        }
    }
}

fn lowercase_word(token: Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}

fn is_plain_value(token: &Token) -> bool {
    matches!(
        token,
        Token::Word(_)
            | Token::SingleQuotedString(_)
            | Token::Number(..)
            | Token::Comma
            | Token::Minus
    )
}

// Returns the token as SQL reads it; the tokenizer's own form does not double the quotes within.
fn sql_text(token: &Token) -> String {
    match token {
        Token::SingleQuotedString(text) => format!("'{}'", text.replace('\'', "''")),
        Token::Word(word) if word.quote_style.is_some() => {
            format!("\"{}\"", word.value.replace('"', "\"\""))
        }
        other => other.to_string(),
    }
}

fn value_text(token: Token) -> String {
    match token {
        Token::SingleQuotedString(text) => text,
        other => other.to_string(),
    }
}
