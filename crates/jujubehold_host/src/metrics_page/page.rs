//! Serves the metrics as text.
//!
//! The exporter's own listener is left out of the build, since it brings a second HTTP stack; a
//! page of one text needs none.

use std::sync::OnceLock;
use std::time::Duration;

use log::{debug, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::process_usage::ProcessUsage;

/// How long a scraper may take.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// How often samples are folded together, so that they don't pile up between scrapes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The recorder of the process: the metrics library knows only one for all hosts in it.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the process's recorder, so that what is counted from now on is on the page.
pub fn install() {
    if recorder().is_none() {
        warn!("another recorder was installed first; the metrics page stays empty");
    }
}

/// The page's text; empty when another recorder was installed first.
pub fn render() -> String {
    let Some(handle) = recorder() else {
        return String::new();
    };
    ProcessUsage::read().publish();
    handle.render()
}

/// Serves the page on `listener` until its future is dropped.
pub async fn serve(listener: TcpListener) {
    let Some(handle) = recorder() else {
        return;
    };
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = upkeep.tick() => handle.run_upkeep(),
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(answer_in_time(stream));
                }
            }
        }
    }
}

fn recorder() -> Option<&'static PrometheusHandle> {
    let install = || PrometheusBuilder::new().install_recorder().ok();
    RECORDER.get_or_init(install).as_ref()
}

async fn answer_in_time(stream: TcpStream) {
    match tokio::time::timeout(SCRAPE_TIMEOUT, answer(stream)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!("a scraper was not answered: {error}"),
        Err(_) => debug!("a scraper took too long"),
    }
}

async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if request.len() > MAX_REQUEST_BYTES || stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let (status, body) = if request.starts_with(b"GET /metrics ") || request.starts_with(b"GET / ")
    {
        ("200 OK", render())
    } else {
        ("404 Not Found", String::new())
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.shutdown().await
}
