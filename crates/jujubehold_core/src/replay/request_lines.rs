//! Parses the commit, read, rerun and admission events of a trace and formats their outcomes.

use std::collections::BTreeMap;

use crate::acknowledgement::{AckDecision, CommitEvidence, ReplicaAnswer};
use crate::admission::{
    Admission, AdmissionRequest, AdmissionSettings, Admitted, RefusedTicket, RequestClass, Ticket,
};
use crate::authority::Authority;
use crate::outcome::{AttemptProgress, OutcomeLookup, RequestHistory, RerunDecision, decide_rerun};
use crate::read_policy::{ReadJudgement, ReadNeed};
use crate::replay::TraceErrorKind;
use crate::replay::line::TraceLine;
use crate::replay::runner::{Outcomes, Runner};
use crate::route::route_write;
use crate::session_floor::FloorKnowledge;
use crate::verdict::Refusal;

impl Runner {
    // commit NAME INSTANCE term= position= sent_ms=
    pub(super) fn on_commit(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "write")?;
        let evidence = CommitEvidence {
            primary: line.word(1, "primary")?.into(),
            term: line.number("term")?,
            position: line.number("position")?,
            primary_query_sent_at: line.duration_or("sent_ms", line.at)?,
            replicas: BTreeMap::new(),
        };
        self.commits.insert(name.to_owned(), evidence);
        self.on_decide(line)
    }

    // confirmed NAME INSTANCE sent_ms= STATUS
    pub(super) fn on_confirmed(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let instance = line.word(1, "instance")?;
        let sent_at = line.duration_or("sent_ms", line.at)?;
        if let Some(status) = line.status(instance)? {
            let answer = ReplicaAnswer { sent_at, status };
            self.evidence(line)?
                .replicas
                .insert(instance.into(), answer);
        }
        self.on_decide(line)
    }

    // proved NAME sent_ms=
    pub(super) fn on_proved(&mut self, line: &TraceLine<'_>) -> Outcomes {
        self.evidence(line)?.primary_query_sent_at = line.duration_or("sent_ms", line.at)?;
        self.on_decide(line)
    }

    // decide NAME
    pub(super) fn on_decide(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "write")?;
        let evidence = self.evidence(line)?.clone();
        let decision = evidence.decide(&self.config, &Authority::default(), line.at);
        let text = match decision {
            AckDecision::Acknowledge => "acknowledge".to_owned(),
            AckDecision::AskPrimary => "ask_primary".to_owned(),
            AckDecision::AskReplicas => "ask_replicas".to_owned(),
            AckDecision::Unknown(reason) => format!("unknown reason={}", reason.as_str()),
        };
        Ok(vec![format!("{name} {text}")])
    }

    fn evidence(&mut self, line: &TraceLine<'_>) -> Result<&mut CommitEvidence, TraceErrorKind> {
        let name = line.word(0, "write")?;
        let evidence = self.commits.get_mut(name);
        evidence.ok_or_else(|| TraceErrorKind::Missing(format!("commit {name}")))
    }

    // read NAME floor= writes=none; without either, the session's earlier writes are unknown.
    pub(super) fn on_read(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "read")?;
        let knowledge = match line.floor(&self.config.service)? {
            Some(floor) => FloorKnowledge::Floor(floor),
            None if line.pair("writes") == Some("none") => FloorKnowledge::NoWrites,
            None => FloorKnowledge::Unknown,
        };
        let need = ReadNeed::new(&self.config, knowledge, line.at);
        self.reads.insert(name.to_owned(), need);
        Ok(Vec::new())
    }

    // answered NAME INSTANCE sent_ms= STATUS
    pub(super) fn on_answered(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "read")?;
        let instance = line.word(1, "instance")?;
        let sent_at = line.duration_or("sent_ms", line.at)?;
        let need = self
            .reads
            .get(name)
            .ok_or_else(|| TraceErrorKind::Missing(format!("read {name}")))?;
        let Some(status) = line.status(instance)? else {
            return Ok(vec![format!("{name} retry")]);
        };
        let view = self.failover()?.view();
        let authority = Authority::default();
        let text = match need.judge(&self.config, view, &authority, sent_at, &status) {
            ReadJudgement::Serve => "serve",
            ReadJudgement::Retry => "retry",
            ReadJudgement::FloorLost => "cut",
        };
        Ok(vec![format!("{name} {text}")])
    }

    // rerun NAME progress= lookup= is_idempotent= has_request_id=
    pub(super) fn on_rerun(line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "request")?;
        let progress = match line.required("progress")? {
            "not_sent" => AttemptProgress::NotSent,
            "refused" => AttemptProgress::Refused,
            "rolled_back" => AttemptProgress::RolledBack,
            "sent" => AttemptProgress::Sent,
            "answered" => AttemptProgress::Answered,
            other => return Err(TraceErrorKind::Malformed(other.to_owned())),
        };
        let lookup = match line.pair("lookup") {
            None => None,
            Some("found") => Some(OutcomeLookup::Found),
            Some("absent") => Some(OutcomeLookup::Absent),
            Some("unavailable") => Some(OutcomeLookup::Unavailable),
            Some(other) => return Err(TraceErrorKind::Malformed(other.to_owned())),
        };
        let history = RequestHistory {
            is_idempotent: line.is_set("is_idempotent"),
            has_request_id: line.is_set("has_request_id"),
            progress,
            lookup,
        };
        let text = match decide_rerun(&history) {
            RerunDecision::MayRun => "may_run",
            RerunDecision::AlreadyRan => "already_ran",
            RerunDecision::StillUnknown => "still_unknown",
        };
        Ok(vec![format!("{name} {text}")])
    }

    // slots slots= queue=
    pub(super) fn on_slots(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let settings = AdmissionSettings {
            slots: line.number("slots")?,
            queue: line.number("queue")?,
            ..AdmissionSettings::default()
        };
        self.admission = Some(Admission::new(settings));
        Ok(Vec::new())
    }

    // offer NAME caller= class= due_ms=
    pub(super) fn on_offer(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "request")?;
        let class = match line.required("class")? {
            "lookup" => RequestClass::Lookup,
            "write" => RequestClass::Write,
            "deferrable" => RequestClass::Deferrable,
            other => return Err(TraceErrorKind::Malformed(other.to_owned())),
        };
        if class != RequestClass::Lookup
            && let Err(reason) = route_write(&self.config, self.failover()?.view())
        {
            return Ok(vec![format!("{name} refuse reason={}", reason.as_str())]);
        }
        let ticket = self.tickets.len() as Ticket;
        self.tickets.insert(ticket, name.to_owned());
        let request = AdmissionRequest {
            ticket,
            caller: line.required("caller")?.into(),
            class,
            deadline: line.duration_or("due_ms", line.at)?,
        };
        let admission = self.admission.as_mut();
        let offered = admission
            .ok_or_else(|| TraceErrorKind::Missing("slots".to_owned()))?
            .offer(line.at, request);
        let mut outcomes: Vec<_> = offered
            .displaced
            .iter()
            .map(|displaced| self.refused_ticket_text(displaced))
            .collect();
        outcomes.push(match offered.decision {
            Ok(Admitted::Start) => format!("{name} start"),
            Ok(Admitted::Wait) => format!("{name} wait"),
            Err(refusal) => format!("{name} {}", refusal_text(&refusal)),
        });
        Ok(outcomes)
    }

    // release NAME
    pub(super) fn on_release(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "request")?;
        let ticket = self
            .tickets
            .iter()
            .find(|(_, known)| *known == name)
            .map(|(ticket, _)| *ticket)
            .ok_or_else(|| TraceErrorKind::Missing(format!("offer {name}")))?;
        let admission = self.admission.as_mut();
        let released = admission
            .ok_or_else(|| TraceErrorKind::Missing("slots".to_owned()))?
            .release(line.at, ticket);
        let expired = released
            .expired
            .iter()
            .map(|one| self.refused_ticket_text(one));
        let started = released
            .started
            .iter()
            .map(|ticket| format!("{} start", self.ticket_name(*ticket)));
        Ok(expired.chain(started).collect())
    }

    fn refused_ticket_text(&self, refused: &RefusedTicket) -> String {
        let name = self.ticket_name(refused.ticket);
        format!("{name} {}", refusal_text(&refused.refusal))
    }

    fn ticket_name(&self, ticket: Ticket) -> &str {
        self.tickets.get(&ticket).map_or("", String::as_str)
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    let reason = refusal.reason.as_str();
    match refusal.retry_after {
        Some(after) => format!(
            "not_run reason={reason} retry_after_ms={}",
            after.as_millis()
        ),
        None => format!("not_run reason={reason}"),
    }
}
