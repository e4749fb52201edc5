//! `jujubehold faults`: runs the proxy that injects faults.

use getopts::{Matches, Options};
use jujubehold_faults::{FaultSettings, Protocol, RouteSettings, run_faults};

use super::host::stop_signal;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "faults --route NAME,PROTOCOL,LISTEN,TARGET... [OPTIONS]",
    about: "Runs a proxy that injects faults into connections and datagrams, for trials and tests, \
            until SIGTERM\nor SIGINT. docs/notes/fault-proxy.md lists the control port's commands.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold faults --control 127.0.0.1:7000 \
              --route primary,tcp,127.0.0.1:7001,127.0.0.1:5501",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optmulti(
        "r",
        "route",
        "a route: its name, tcp or udp, where it listens and where it forwards to",
        "NAME,PROTOCOL,LISTEN,TARGET",
    );
    options.optopt("c", "control", "where its control port listens", "ADDRESS");
    options.optopt("", "seed", "the seed of its random choices (0)", "N");
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let settings = settings(&matches)?;
    actix_rt::System::new()
        .block_on(async { run_faults(settings, stop_signal()?).await })
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(String::new())
}

fn settings(matches: &Matches) -> Result<FaultSettings, CliError> {
    let routes: Vec<RouteSettings> = matches
        .opt_strs("route")
        .iter()
        .map(|text| {
            parse_route(text).ok_or_else(|| {
                HELP.usage_error(&format!(
                    "--route {text:?} is not NAME,PROTOCOL,LISTEN,TARGET"
                ))
            })
        })
        .collect::<Result<_, _>>()?;
    let control = HELP.address(matches, "control")?;
    if routes.is_empty() && control.is_none() {
        return Err(HELP.usage_error("neither --route nor --control is given"));
    }
    Ok(FaultSettings {
        seed: HELP.value(matches, "seed", 0, "a whole number")?,
        control,
        routes,
    })
}

fn parse_route(text: &str) -> Option<RouteSettings> {
    let mut parts = text.split(',').map(str::trim);
    let name = parts.next().filter(|name| !name.is_empty())?;
    let protocol = match parts.next()? {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    let listen = parts.next()?.parse().ok()?;
    let target = parts.next()?.parse().ok()?;
    parts.next().is_none().then(|| RouteSettings {
        name: name.into(),
        protocol,
        listen,
        target,
    })
}
