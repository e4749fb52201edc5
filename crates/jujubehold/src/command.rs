//! The subcommands, their names and their summaries.

use std::fmt::Write;

use crate::cli_error::CliError;
use crate::commands::{
    check, demo, drain, entry, experiment, explain, faults, host, load, replay, show,
    standin_database, standin_platform, standin_users_platform, status, submit,
};

/// A subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Runs an entry host.
    Host,
    /// Runs an entry host on the users' platform.
    Entry,
    /// Checks settings and configuration files.
    Check,
    /// Submits a service's configuration.
    Submit,
    /// Shows the configuration in force.
    Show,
    /// Takes an upstream out of service.
    Drain,
    /// Takes an upstream back into service.
    Undrain,
    /// Shows a host's counters.
    Status,
    /// Shows what happened to one request.
    Explain,
    /// Runs a stand-in of a database instance.
    StandinDatabase,
    /// Runs a stand-in of the platform's key-value service.
    StandinPlatform,
    /// Runs a stand-in of the users' platform.
    StandinUsersPlatform,
    /// Runs the fault proxy.
    Faults,
    /// Replays recorded traces and compares their outcomes with the expected ones.
    Replay,
    /// Repeats a statement and measures the answers.
    Load,
    /// Runs the demonstration.
    Demo,
    /// Runs an experiment.
    Experiment,
}

impl Command {
    /// Every command, in the order of the overview.
    pub const ALL: [Self; 17] = [
        Self::Host,
        Self::Entry,
        Self::Check,
        Self::Submit,
        Self::Show,
        Self::Drain,
        Self::Undrain,
        Self::Status,
        Self::Explain,
        Self::StandinDatabase,
        Self::StandinPlatform,
        Self::StandinUsersPlatform,
        Self::Faults,
        Self::Replay,
        Self::Load,
        Self::Demo,
        Self::Experiment,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Entry => "entry",
            Self::Check => "check",
            Self::Submit => "submit",
            Self::Show => "show",
            Self::Drain => "drain",
            Self::Undrain => "undrain",
            Self::Status => "status",
            Self::Explain => "explain",
            Self::StandinDatabase => "standin-database",
            Self::StandinPlatform => "standin-platform",
            Self::StandinUsersPlatform => "standin-users-platform",
            Self::Faults => "faults",
            Self::Replay => "replay",
            Self::Load => "load",
            Self::Demo => "demo",
            Self::Experiment => "experiment",
        }
    }

    /// Finds the command called `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|command| command.name() == name)
    }

    fn summary(self) -> &'static str {
        match self {
            Self::Host => "run an entry host",
            Self::Entry => "run an entry host on the users' platform",
            Self::Check => "check settings and configuration files, naming every fault",
            Self::Submit => "submit a service's configuration",
            Self::Show => "show the configuration in force",
            Self::Drain => "take an upstream out of service",
            Self::Undrain => "take an upstream back into service",
            Self::Status => "show a host's counters",
            Self::Explain => "show what happened to one request, from the hosts' logs",
            Self::StandinDatabase => "run a stand-in of a database instance",
            Self::StandinPlatform => "run a stand-in of the platform's key-value service",
            Self::StandinUsersPlatform => "run a stand-in of the users' platform",
            Self::Faults => "run a proxy that injects faults",
            Self::Replay => "run recorded traces and compare the outcomes with the expected ones",
            Self::Load => "repeat a statement and measure the answers",
            Self::Demo => "run a whole installation in one process",
            Self::Experiment => "run a measurement",
        }
    }

    /// Runs the command with the arguments after its name.
    ///
    /// # Errors
    /// Returns an error if the command line is wrong or the command fails.
    pub fn run(self, arguments: &[String]) -> Result<String, CliError> {
        match self {
            Self::Host => host::run(arguments),
            Self::Entry => entry::run(arguments),
            Self::Check => check::run(arguments),
            Self::Submit => submit::run(arguments),
            Self::Show => show::run(arguments),
            Self::Drain => drain::run(arguments, drain::DrainAction::Drain),
            Self::Undrain => drain::run(arguments, drain::DrainAction::Undrain),
            Self::Status => status::run(arguments),
            Self::Explain => explain::run(arguments),
            Self::StandinDatabase => standin_database::run(arguments),
            Self::StandinPlatform => standin_platform::run(arguments),
            Self::StandinUsersPlatform => standin_users_platform::run(arguments),
            Self::Faults => faults::run(arguments),
            Self::Replay => replay::run(arguments),
            Self::Load => load::run(arguments),
            Self::Demo => demo::run(arguments),
            Self::Experiment => experiment::run(arguments),
        }
    }
}

/// Returns the text of `jujubehold --help`, which lists the commands.
pub(crate) fn overview() -> String {
    let mut text = String::from("Usage: jujubehold COMMAND [OPTIONS]\n\nCommands:\n");
    for command in Command::ALL {
        let _ = writeln!(text, "    {:<22} {}", command.name(), command.summary());
    }
    text.push_str(
        "\n`jujubehold COMMAND --help` shows a command's options, exit codes and an example.\n\
         JUJUBEHOLD_LOG sets what is logged, such as `info` or `jujubehold_host=debug`.\n",
    );
    text
}
