//! The commands of an instance's control port.

use std::sync::Arc;
use std::time::Duration;

use crate::control_port::Control;

use super::shared::Shared;

/// Executes the commands listed in docs/notes/platform-stand-in.md.
pub(crate) struct DatabaseControl {
    pub(crate) shared: Arc<Shared>,
}

impl Control for DatabaseControl {
    fn run_command(&self, words: &[&str]) -> String {
        let shared = &self.shared;
        match words {
            ["lag_ms", number] => match number.parse() {
                Ok(lag_ms) => set_lag(shared, Duration::from_millis(lag_ms)),
                Err(_) => return "error: lag_ms takes a number".to_owned(),
            },
            ["service_time_ms", number] => match number.parse() {
                Ok(time_ms) => shared.conditions.send_modify(|conditions| {
                    conditions.service_time = Duration::from_millis(time_ms);
                }),
                Err(_) => return "error: service_time_ms takes a number".to_owned(),
            },
            ["freeze"] => set_frozen(shared, true),
            ["thaw"] => set_frozen(shared, false),
            ["kill"] => set_down(shared, true),
            ["revive"] => set_down(shared, false),
            ["status"] => return shared.status(0).to_string(),
            ["counts"] => {
                let statements = shared.statements.load(std::sync::atomic::Ordering::Relaxed);
                let connections = shared.connection_count();
                return format!("connections={connections} statements={statements}");
            }
            _ => return "error: unknown command".to_owned(),
        }
        "ok".to_owned()
    }
}

pub(crate) fn set_lag(shared: &Shared, lag: Duration) {
    shared.change(|instance| instance.apply_lag = lag);
}

pub(crate) fn set_frozen(shared: &Shared, is_frozen: bool) {
    shared
        .conditions
        .send_modify(|conditions| conditions.is_frozen = is_frozen);
}

pub(crate) fn set_down(shared: &Shared, is_down: bool) {
    shared
        .conditions
        .send_modify(|conditions| conditions.is_down = is_down);
}
