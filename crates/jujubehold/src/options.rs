//! Parses the options of subcommands and formats their help texts.

use std::fmt::Write;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;

/// How long a whole command may take if `--timeout-ms` is missing.
const DEFAULT_COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of a subcommand's help text besides its options.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommandHelp {
    /// The command and its arguments, after the program's name.
    pub(crate) usage: &'static str,
    /// What the command does, in a few sentences.
    pub(crate) about: &'static str,
    /// The exit statuses that the command can end with.
    pub(crate) exits: &'static [ExitStatus],
    /// A complete command line.
    pub(crate) example: &'static str,
}

/// The result of parsing a subcommand's arguments.
pub(crate) enum Parsed {
    /// `--help` was given; holds the help text.
    Help(String),
    /// The command is to run with these options.
    Run(Matches),
}

impl CommandHelp {
    /// Parses `arguments` by `options`, to which it adds `--help`.
    pub(crate) fn parse(
        &self,
        mut options: Options,
        arguments: &[String],
    ) -> Result<Parsed, CliError> {
        options.optflag("h", "help", "show this text");
        let matches = options
            .parse(arguments)
            .map_err(|error| self.usage_error(&error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Parsed::Help(self.text(&options)));
        }
        Ok(Parsed::Run(matches))
    }

    /// Returns an error that states the problem and the usage.
    pub(crate) fn usage_error(&self, problem: &str) -> CliError {
        let name = self.usage.split(' ').next().unwrap_or_default();
        CliError::Usage(format!(
            "{problem}\nUsage: jujubehold {}\n`jujubehold {name} --help` shows more.",
            self.usage
        ))
    }

    /// Parses the value of `option`; returns `default` if the option is missing.
    pub(crate) fn value<T: FromStr>(
        &self,
        matches: &Matches,
        option: &str,
        default: T,
        expected: &str,
    ) -> Result<T, CliError> {
        let Some(text) = matches.opt_str(option) else {
            return Ok(default);
        };
        text.parse()
            .map_err(|_| self.usage_error(&format!("--{option} {text:?} is not {expected}")))
    }

    /// Parses a required option of addresses separated by commas.
    pub(crate) fn addresses(
        &self,
        matches: &Matches,
        option: &str,
    ) -> Result<Vec<SocketAddr>, CliError> {
        let Some(text) = matches.opt_str(option) else {
            return Err(self.usage_error(&format!("--{option} is missing")));
        };
        text.split(',')
            .map(|part| self.parse_address(option, part.trim()))
            .collect()
    }

    /// Parses one address; returns `None` if the option is missing.
    pub(crate) fn address(
        &self,
        matches: &Matches,
        option: &str,
    ) -> Result<Option<SocketAddr>, CliError> {
        matches
            .opt_str(option)
            .map(|text| self.parse_address(option, &text))
            .transpose()
    }

    /// Parses a required option of one address.
    pub(crate) fn required_address(
        &self,
        matches: &Matches,
        option: &str,
    ) -> Result<SocketAddr, CliError> {
        self.address(matches, option)?
            .ok_or_else(|| self.usage_error(&format!("--{option} is missing")))
    }

    fn parse_address(&self, option: &str, text: &str) -> Result<SocketAddr, CliError> {
        text.parse().map_err(|_| {
            self.usage_error(&format!(
                "--{option} {text:?} is not an IP number and a port"
            ))
        })
    }

    /// Parses a whole number of milliseconds; returns `default` if the option is missing.
    pub(crate) fn duration_ms(
        &self,
        matches: &Matches,
        option: &str,
        default: Duration,
    ) -> Result<Duration, CliError> {
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.value(
            matches,
            option,
            default_ms,
            "a whole number of milliseconds",
        )
        .map(Duration::from_millis)
    }

    /// Parses `--timeout-ms`, the time that the whole command may take.
    pub(crate) fn timeout(&self, matches: &Matches) -> Result<Duration, CliError> {
        self.duration_ms(matches, "timeout-ms", DEFAULT_COMMAND_TIMEOUT)
    }

    fn text(&self, options: &Options) -> String {
        let brief = format!("Usage: jujubehold {}\n\n{}", self.usage, self.about);
        let mut text = options.usage(&brief);
        text.push_str("\nExit codes:\n");
        for status in self.exits {
            let _ = writeln!(text, "    {}  {}", status.code(), status.meaning());
        }
        let _ = writeln!(text, "\nExample:\n    {}", self.example);
        text
    }
}

/// Returns the options that all commands that call the platform's key-value service have.
pub(crate) fn platform_options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "p",
        "platform",
        "the platform's key-value service, IP numbers and ports with commas between them",
        "ADDRESSES",
    );
    options.optopt(
        "t",
        "timeout-ms",
        "how long the whole command may take, in milliseconds (5000)",
        "MS",
    );
    options
}
