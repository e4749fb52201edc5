//! The command-line options in a startup message.

use std::iter::Peekable;
use std::str::Chars;

/// Reads the settings in `options`, in the forms `-c name=value`, `-cname=value` and
/// `--name=value`; `None` if there is anything else.
///
/// Spaces separate the options, and a backslash takes away the meaning of the character after it,
/// as in `PostgreSQL`.
pub(crate) fn read_options(options: &str) -> Option<Vec<(String, String)>> {
    let mut settings = Vec::new();
    let mut characters = options.chars().peekable();
    while let Some(argument) = next_argument(&mut characters) {
        let setting = if argument == "-c" {
            next_argument(&mut characters)?
        } else {
            let text = argument.strip_prefix("--");
            text.or_else(|| argument.strip_prefix("-c"))?.to_owned()
        };
        let (name, value) = setting.split_once('=')?;
        settings.push((name.replace('-', "_"), value.to_owned()));
    }
    Some(settings)
}

fn next_argument(characters: &mut Peekable<Chars<'_>>) -> Option<String> {
    while characters.next_if(char::is_ascii_whitespace).is_some() {}
    characters.peek()?;
    let mut argument = String::new();
    while let Some(character) = characters.next_if(|character| !character.is_ascii_whitespace()) {
        let character = if character == '\\' {
            characters.next().unwrap_or(character)
        } else {
            character
        };
        argument.push(character);
    }
    Some(argument)
}
