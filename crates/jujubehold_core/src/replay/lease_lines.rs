//! Parses the events of leased connections and forwarded frames in a trace and formats their
//! outcomes.

use crate::frame_order::FrameDecision;
use crate::lease::{LeaseDecision, TransactionStatus};
use crate::replay::TraceErrorKind;
use crate::replay::line::TraceLine;
use crate::replay::runner::{Outcomes, Runner};

impl Runner {
    // lease NAME sent | ready idle|in_transaction|failed | broken | rest | end
    pub(super) fn on_lease(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "connection")?;
        let lease = self.leases.entry(name.to_owned()).or_default();
        match line.word(1, "event kind")? {
            "sent" => lease.note_sent(),
            "ready" => lease.note_ready(match line.word(2, "status")? {
                "idle" => TransactionStatus::Idle,
                "in_transaction" => TransactionStatus::InTransaction,
                "failed" => TransactionStatus::Failed,
                other => return Err(TraceErrorKind::Malformed(other.to_owned())),
            }),
            "broken" => lease.note_broken(),
            "rest" | "end" => {}
            other => return Err(TraceErrorKind::Malformed(other.to_owned())),
        }
        let is_end = line.words().get(1) == Some(&"end");
        let decision = if is_end {
            lease.decision_at_end()
        } else {
            lease.decision_when_idle()
        };
        let text = match decision {
            LeaseDecision::Return => "return",
            LeaseDecision::Keep => "keep",
            LeaseDecision::Discard => "discard",
        };
        Ok(vec![format!("{name} {text}")])
    }

    // frame NAME sequence=
    pub(super) fn on_frame(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "stream")?;
        let order = self.frames.entry(name.to_owned()).or_default();
        let text = match order.accept(line.number("sequence")?) {
            FrameDecision::Deliver => "deliver",
            FrameDecision::Drop => "drop",
            FrameDecision::Broken => "broken",
        };
        Ok(vec![format!("{name} {text}")])
    }
}
