//! Parses the configuration and drain events of a trace and formats their outcomes.

use crate::config_store::{ConfigRecord, MergeOutcome, PlatformAction, PlatformValue};
use crate::drain::{Drain, DrainAction, DrainEvent, DrainSettings};
use crate::replay::TraceErrorKind;
use crate::replay::line::TraceLine;
use crate::replay::runner::{Outcomes, Runner};
use crate::service_config::ServiceConfig;

impl Runner {
    // config SERVICE generation= text=
    pub(super) fn on_config(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let record = parse_record(line)?;
        let text = match self.configs.merge(record) {
            MergeOutcome::Applied => "applied".to_owned(),
            MergeOutcome::Unchanged => "same".to_owned(),
            MergeOutcome::Stale { current } => format!("older in_force={current}"),
            MergeOutcome::WonTie => "outranks".to_owned(),
            MergeOutcome::LostTie => "differs".to_owned(),
        };
        Ok(vec![text])
    }

    // platform SERVICE generation= text= mod_revision=; without `text` the key is missing.
    pub(super) fn on_platform(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let service = line.word(0, "service")?.into();
        let value = PlatformValue {
            record: line.pair("text").map(|_| parse_record(line)).transpose()?,
            mod_revision: line.number("mod_revision")?,
        };
        let text = match self.configs.on_platform_value(&service, value) {
            PlatformAction::Nothing => return Ok(Vec::new()),
            PlatformAction::Relay => "hand_on".to_owned(),
            PlatformAction::Restore { text, mod_revision } => {
                format!("restore text={text} mod_revision={mod_revision}")
            }
        };
        Ok(vec![text])
    }

    // drain asked | drain in_flight requests= lent= | drain tick
    pub(super) fn on_drain(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let event = match line.word(0, "event kind")? {
            "asked" => DrainEvent::Requested,
            "in_flight" => DrainEvent::InFlight {
                requests: line.number("requests")?,
                lent: line.number_or("lent", 0)?,
            },
            "tick" => DrainEvent::Tick,
            other => return Err(TraceErrorKind::Malformed(other.to_owned())),
        };
        let drain = self
            .drain
            .get_or_insert_with(|| Drain::new(DrainSettings::default()));
        let actions = drain.on_event(line.at, &event);
        Ok(actions
            .iter()
            .map(|action| drain_text(action).to_owned())
            .collect())
    }
}

fn parse_record(line: &TraceLine<'_>) -> Result<ConfigRecord, TraceErrorKind> {
    Ok(ConfigRecord {
        config: ServiceConfig {
            service: line.word(0, "service")?.into(),
            generation: line.number("generation")?,
            ..ServiceConfig::default()
        },
        text: line.required("text")?.into(),
    })
}

fn drain_text(action: &DrainAction) -> &'static str {
    match action {
        DrainAction::NotifyPeers => "tell_peers",
        DrainAction::StopAccepting => "stop_accepting",
        DrainAction::EndIdleSessions => "end_idle_sessions",
        DrainAction::ClosePooledConnections => "hand_over",
        DrainAction::AnswerRequests => "answer_requests",
        DrainAction::Exit => "exit",
        DrainAction::ExitOverdue => "exit_overdue",
    }
}
