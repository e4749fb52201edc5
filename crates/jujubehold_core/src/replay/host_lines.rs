//! Configuration and leaving as text.

use crate::config_store::{ConfigRecord, Offer, PlatformAction, PlatformValue};
use crate::drain::{Drain, DrainAction, DrainEvent, DrainSettings};
use crate::replay::TraceFault;
use crate::replay::line::TraceLine;
use crate::replay::runner::{Outcomes, Runner};
use crate::service_config::ServiceConfig;

impl Runner {
    // config SERVICE generation= text=
    pub(super) fn on_config(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let record = record(line)?;
        let text = match self.configs.offer(record) {
            Offer::Applied => "applied".to_owned(),
            Offer::Same => "same".to_owned(),
            Offer::Older { in_force } => format!("older in_force={in_force}"),
            Offer::Outranks => "outranks".to_owned(),
            Offer::Differs => "differs".to_owned(),
        };
        Ok(vec![text])
    }

    // platform SERVICE generation= text= mod_revision=; without a text the key is lost.
    pub(super) fn on_platform(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let service = line.word(0, "the service")?.into();
        let shown = PlatformValue {
            record: line.pair("text").map(|_| record(line)).transpose()?,
            mod_revision: line.number("mod_revision")?,
        };
        let text = match self.configs.on_platform(&service, shown) {
            PlatformAction::Nothing => return Ok(Vec::new()),
            PlatformAction::HandOn => "hand_on".to_owned(),
            PlatformAction::Restore { text, mod_revision } => {
                format!("restore text={text} mod_revision={mod_revision}")
            }
        };
        Ok(vec![text])
    }

    // drain asked | drain in_flight requests= lent= | drain tick
    pub(super) fn on_drain(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let event = match line.word(0, "what happened")? {
            "asked" => DrainEvent::Asked,
            "in_flight" => DrainEvent::InFlight {
                requests: line.number("requests")?,
                lent: line.number_or("lent", 0)?,
            },
            "tick" => DrainEvent::Tick,
            other => return Err(TraceFault::Malformed(other.to_owned())),
        };
        let drain = self
            .drain
            .get_or_insert_with(|| Drain::new(DrainSettings::default()));
        let actions = drain.on_event(line.at, &event);
        Ok(actions
            .iter()
            .map(|one| drain_text(one).to_owned())
            .collect())
    }
}

fn record(line: &TraceLine<'_>) -> Result<ConfigRecord, TraceFault> {
    Ok(ConfigRecord {
        config: ServiceConfig {
            service: line.word(0, "the service")?.into(),
            generation: line.number("generation")?,
            ..ServiceConfig::default()
        },
        text: line.needed("text")?.into(),
    })
}

fn drain_text(action: &DrainAction) -> &'static str {
    match action {
        DrainAction::TellPeers => "tell_peers",
        DrainAction::StopAccepting => "stop_accepting",
        DrainAction::EndIdleSessions => "end_idle_sessions",
        DrainAction::HandOver => "hand_over",
        DrainAction::Exit => "exit",
        DrainAction::ExitOverdue => "exit_overdue",
    }
}
