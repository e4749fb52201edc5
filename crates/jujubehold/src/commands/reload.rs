//! What a daemon does when its settings file changed.

use jujubehold_settings::IniFaults;
use log::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::read_file;

/// Reads the settings file again at each SIGHUP, for as long as the present actix system runs.
///
/// Settings are in force from a process's start to its end: addresses and names can't change under
/// open connections. The file is checked at once, so that a fault shows before the next start.
pub(crate) fn check_at_hangup<T: PartialEq + 'static>(
    file: String,
    in_force: T,
    parse: impl Fn(&str, &str) -> Result<T, IniFaults> + 'static,
) -> std::io::Result<()> {
    let hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(check_each_time(hangups, file, in_force, parse));
    Ok(())
}

async fn check_each_time<T: PartialEq>(
    mut hangups: Signal,
    file: String,
    in_force: T,
    parse: impl Fn(&str, &str) -> Result<T, IniFaults>,
) {
    while hangups.recv().await.is_some() {
        let text = match read_file(&file) {
            Ok(text) => text,
            Err(error) => {
                warn!(error:% = error; "settings file can't be read");
                continue;
            }
        };
        match parse(&file, &text) {
            Ok(settings) => info!(is_changed = settings != in_force; "settings file read again"),
            Err(faults) => warn!(faults:% = faults; "settings file has faults"),
        }
    }
}
