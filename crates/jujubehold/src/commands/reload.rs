//! Checks the settings file of a running host again on SIGHUP.

use jujubehold_settings::IniFaults;
use log::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::read_file;

/// Reads and checks the settings file at each SIGHUP, for as long as the current actix system runs.
///
/// The settings in force do not change while the process runs, because addresses and names cannot
/// change under open connections. The check reports faults before the next start.
///
/// # Errors
/// Returns an error if the signal handler cannot be installed.
pub(crate) fn check_settings_on_sighup<T: PartialEq + 'static>(
    file: String,
    in_force: T,
    parse: impl Fn(&str, &str) -> Result<T, IniFaults> + 'static,
) -> std::io::Result<()> {
    let sighups = signal(SignalKind::hangup())?;
    actix_rt::spawn(check_on_each_sighup(sighups, file, in_force, parse));
    Ok(())
}

async fn check_on_each_sighup<T: PartialEq>(
    mut sighups: Signal,
    file: String,
    in_force: T,
    parse: impl Fn(&str, &str) -> Result<T, IniFaults>,
) {
    while sighups.recv().await.is_some() {
        let text = match read_file(&file) {
            Ok(text) => text,
            Err(error) => {
                warn!(error:% = error; "cannot read the settings file");
                continue;
            }
        };
        match parse(&file, &text) {
            Ok(settings) => info!(is_changed = settings != in_force; "settings file read again"),
            Err(faults) => warn!(faults:% = faults; "settings file has faults"),
        }
    }
}
