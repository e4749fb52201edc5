//! `jujubehold status`: shows a host's counters.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "status --metrics ADDRESS [--all]",
    about: "Reads a host's metrics page and prints what is not zero.",
    exits: &[ExitStatus::Ok, ExitStatus::Usage, ExitStatus::Unavailable],
    example: "jujubehold status --metrics 127.0.0.1:9100",
};
/// The largest part of a metrics page that is read, in bytes.
const MAX_PAGE_BYTES: u64 = 16 * 1024 * 1024;

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt(
        "m",
        "metrics",
        "the host's metrics address, an IP number and a port",
        "ADDRESS",
    );
    options.optopt(
        "t",
        "timeout-ms",
        "how long the whole command may take, in milliseconds (5000)",
        "MS",
    );
    options.optflag("a", "all", "print zeros too");
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let timeout = HELP.timeout(&matches)?;
    let address = HELP.required_address(&matches, "metrics")?;
    let page = actix_rt::System::new().block_on(fetch(address, timeout))?;
    Ok(select_samples(&page, matches.opt_present("all")))
}

/// Returns the samples of a metrics page, leaving out comments and, unless `with_zeros`, zero
/// samples.
fn select_samples(page: &str, with_zeros: bool) -> String {
    let mut text = String::new();
    for line in page.lines() {
        let is_sample = !line.is_empty() && !line.starts_with('#');
        if is_sample && (with_zeros || !line.ends_with(" 0")) {
            text.push_str(line);
            text.push('\n');
        }
    }
    text
}

async fn fetch(address: SocketAddr, timeout: Duration) -> Result<String, CliError> {
    let unavailable = |detail: String| {
        CliError::Unavailable(format!(
            "cannot read the metrics page at {address}: {detail}"
        ))
    };
    let response = actix_rt::time::timeout(timeout, read_page(address))
        .await
        .map_err(|_| unavailable("no answer in time".into()))?
        .map_err(|error| unavailable(error.to_string()))?;
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.contains(" 200 ") => Ok(body.to_owned()),
        _ => Err(unavailable("the answer is not a metrics page".into())),
    }
}

/// Requests the page with HTTP/1.0, in which the response is not chunked and ends with the
/// connection.
async fn read_page(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /metrics HTTP/1.0\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream
        .take(MAX_PAGE_BYTES)
        .read_to_end(&mut response)
        .await?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}
