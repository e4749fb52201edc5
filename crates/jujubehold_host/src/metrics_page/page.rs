//! Serves the metrics as text over HTTP.
//!
//! The exporter's own HTTP listener is left out of the build, because it pulls in a second HTTP
//! stack, which a single text page does not need.

use std::sync::OnceLock;
use std::time::Duration;

use log::{debug, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::process_usage::ProcessUsage;

/// The timeout for reading a scrape request and writing its response.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of a request above which no more of it is read.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// How often the recorder aggregates samples, so that they don't accumulate between scrapes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The recorder of the process. The metrics library allows one, which all hosts in the process
/// share.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the process's recorder. The page shows only metrics recorded after that.
pub fn install() {
    if recorder().is_none() {
        warn!("another metrics recorder is already installed; the metrics page stays empty");
    }
}

/// Returns the page's text; empty if another recorder was installed first.
pub fn render() -> String {
    let Some(handle) = recorder() else {
        return String::new();
    };
    ProcessUsage::read().publish();
    handle.render()
}

/// Serves the page on `listener` until the future is dropped; returns at once if another recorder
/// was installed first.
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
        Ok(Err(error)) => debug!("failed to answer a metrics scrape: {error}"),
        Err(_) => debug!("a metrics scrape timed out"),
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
