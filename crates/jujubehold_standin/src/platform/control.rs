//! The commands of the platform's control port.

use std::sync::Arc;
use std::time::Duration;

use crate::control_port::Control;

use super::faults::Outage;
use super::shared::Shared;

/// Executes the commands listed in docs/notes/platform-stand-in.md.
pub(crate) struct PlatformControl {
    pub(crate) shared: Arc<Shared>,
}

impl Control for PlatformControl {
    fn run_command(&self, words: &[&str]) -> String {
        match words {
            ["outage", "on" | "refuse"] => self.set_outage(Outage::Refuse),
            ["outage", "hang"] => self.set_outage(Outage::Hang),
            ["outage", "off"] => self.set_outage(Outage::None),
            ["call_time_ms", number] => match number.parse() {
                Ok(time_ms) => self.shared.faults.send_modify(|faults| {
                    faults.call_time = Duration::from_millis(time_ms);
                }),
                Err(_) => return "error: call_time_ms takes a number".to_owned(),
            },
            ["lose_answers", number] => match number.parse() {
                Ok(count) => self
                    .shared
                    .faults
                    .send_modify(|faults| faults.answers_to_lose = count),
                Err(_) => return "error: lose_answers takes a number".to_owned(),
            },
            ["restore", revision] => match revision.parse() {
                Ok(revision) => self.shared.restore(revision),
                Err(_) => return "error: restore takes a revision".to_owned(),
            },
            ["revision"] => return self.shared.store().revision().to_string(),
            ["counts"] => return self.counts(),
            _ => return "error: unknown command".to_owned(),
        }
        "ok".to_owned()
    }
}

impl PlatformControl {
    fn set_outage(&self, outage: Outage) {
        self.shared
            .faults
            .send_modify(|faults| faults.outage = outage);
    }

    fn counts(&self) -> String {
        let counts = self.shared.counts();
        let pairs: Vec<String> = counts
            .iter()
            .map(|(kind, count)| format!("{}={count}", kind.as_str()))
            .collect();
        pairs.join(" ")
    }
}
