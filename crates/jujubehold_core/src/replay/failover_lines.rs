//! Parses the failover events of a trace and formats the resulting actions.

use crate::failover_event::{FailoverEvent, RecordOutcome};
use crate::replay::TraceErrorKind;
use crate::replay::line::TraceLine;
use crate::replay::record::action_text;
use crate::replay::runner::{Outcomes, Runner};

impl Runner {
    pub(super) fn on_failover(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let event = failover_event(line)?;
        let failover = self.failover.as_mut().ok_or(TraceErrorKind::NoGroup)?;
        let actions = failover.on_event(line.at, event);
        Ok(actions.iter().filter_map(action_text).collect())
    }
}

fn failover_event(line: &TraceLine<'_>) -> Result<FailoverEvent, TraceErrorKind> {
    let event = match line.verb {
        "probed" => {
            let instance = line.word(0, "instance")?;
            FailoverEvent::Probed {
                instance: instance.into(),
                sent_at: line.duration_or("sent_ms", line.at)?,
                status: line.status(instance)?,
            }
        }
        "refused" => FailoverEvent::Refused {
            instance: line.word(0, "instance")?.into(),
            sent_at: line.duration_or("sent_ms", line.at)?,
        },
        "suspicion" => FailoverEvent::SuspicionReceived {
            host: line.word(0, "host")?.into(),
            domain: line.word(1, "domain")?.into(),
            term: line.number("term")?,
        },
        "doubt" => FailoverEvent::DoubtReceived {
            term: line.number("term")?,
        },
        "liveness" => FailoverEvent::LivenessReceived {
            host: line.word(0, "host")?.into(),
            domain: line.word(1, "domain")?.into(),
            term: line.number("term")?,
        },
        "announced" => FailoverEvent::Announced {
            term: line.number("term")?,
            primary: line.word(0, "primary")?.into(),
        },
        "recorded" => FailoverEvent::Recorded {
            term: line.number("term")?,
            outcome: match line.word(0, "outcome")? {
                "written" => RecordOutcome::Written,
                "lost" => RecordOutcome::Lost {
                    term: line.number("stands")?,
                },
                "unavailable" => RecordOutcome::Unavailable,
                other => return Err(TraceErrorKind::Malformed(other.to_owned())),
            },
        },
        "fenced" => {
            let instance = line.word(0, "instance")?;
            FailoverEvent::Fenced {
                instance: instance.into(),
                term: line.number("term")?,
                nonce: line.number("nonce")?,
                status: line.status(instance)?,
            }
        }
        "caught_up" => {
            let instance = line.word(0, "instance")?;
            FailoverEvent::CaughtUp {
                instance: instance.into(),
                status: line.status(instance)?,
            }
        }
        "promoted" => {
            let instance = line.word(0, "instance")?;
            FailoverEvent::Promoted {
                instance: instance.into(),
                term: line.number("term")?,
                status: line.status(instance)?,
            }
        }
        "change" => FailoverEvent::ChangeRequested {
            instance: line.word(0, "instance")?.into(),
        },
        "tick" => FailoverEvent::Tick,
        other => return Err(TraceErrorKind::UnknownEvent(other.to_owned())),
    };
    Ok(event)
}
