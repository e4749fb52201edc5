//! Formats failover events and actions as lines of a trace.

use std::fmt::Write;

use crate::failover_action::FailoverAction;
use crate::failover_event::{FailoverEvent, RecordOutcome};
use crate::ids::{DomainId, HostId, Monotonic};
use crate::instance_status::InstanceStatus;
use crate::ownership::Watcher;
use crate::service_config::ServiceConfig;

/// Returns the first line of a trace of a group: the arguments with which a
/// [`Failover`](crate::failover::Failover) of default settings was created.
pub fn group_line(
    config: &ServiceConfig,
    host: &HostId,
    domain: &DomainId,
    nonce_seed: u64,
) -> String {
    let mut line = format!("group {}", config.service);
    for (name, instance) in &config.instances {
        push(&mut line, format_args!(" {name}@{}", instance.domain));
    }
    push(
        &mut line,
        format_args!(" host={host} domain={domain} seed={nonce_seed}"),
    );
    line
}

/// Returns the line that lists a group's watchers.
pub fn watchers_line(watchers: &[Watcher]) -> String {
    let mut line = "watchers".to_owned();
    for watcher in watchers {
        push(
            &mut line,
            format_args!(" {}@{}", watcher.host, watcher.domain),
        );
    }
    line
}

/// Returns the line of an event, with its times exact to the nanosecond.
pub fn event_line(at: Monotonic, event: &FailoverEvent) -> String {
    let at_ms = milliseconds(at);
    match event {
        FailoverEvent::Probed {
            instance,
            sent_at,
            status,
        } => format!(
            "probed {instance} at_ms={at_ms} sent_ms={}{}",
            milliseconds(*sent_at),
            status_text(status.as_ref())
        ),
        FailoverEvent::Refused { instance, sent_at } => {
            let sent_ms = milliseconds(*sent_at);
            format!("refused {instance} at_ms={at_ms} sent_ms={sent_ms}")
        }
        FailoverEvent::SuspicionReceived { host, domain, term } => {
            format!("suspicion {host} {domain} at_ms={at_ms} term={term}")
        }
        FailoverEvent::DoubtReceived { term } => format!("doubt at_ms={at_ms} term={term}"),
        FailoverEvent::LivenessReceived { host, domain, term } => {
            format!("liveness {host} {domain} at_ms={at_ms} term={term}")
        }
        FailoverEvent::Announced { term, primary } => {
            format!("announced {primary} at_ms={at_ms} term={term}")
        }
        FailoverEvent::Recorded { term, outcome } => match outcome {
            RecordOutcome::Written => format!("recorded written at_ms={at_ms} term={term}"),
            RecordOutcome::Lost { term: stands } => {
                format!("recorded lost at_ms={at_ms} term={term} stands={stands}")
            }
            RecordOutcome::Unavailable => {
                format!("recorded unavailable at_ms={at_ms} term={term}")
            }
        },
        FailoverEvent::Fenced {
            instance,
            term,
            nonce,
            status,
        } => format!(
            "fenced {instance} at_ms={at_ms} term={term} nonce={nonce}{}",
            status_text(status.as_ref())
        ),
        FailoverEvent::CaughtUp { instance, status } => {
            let status = status_text(status.as_ref());
            format!("caught_up {instance} at_ms={at_ms}{status}")
        }
        FailoverEvent::Promoted {
            instance,
            term,
            status,
        } => format!(
            "promoted {instance} at_ms={at_ms} term={term}{}",
            status_text(status.as_ref())
        ),
        FailoverEvent::ChangeRequested { instance } => format!("change {instance} at_ms={at_ms}"),
        FailoverEvent::Tick => format!("tick at_ms={at_ms}"),
    }
}

/// Returns the line that states an action as an expected outcome.
///
/// Returns `None` for probes, which follow from the time alone, and for shared doubts, which only
/// cause probes by other hosts: both would fill a trace.
pub fn action_line(action: &FailoverAction) -> Option<String> {
    action_text(action).map(|text| format!("expect {text}"))
}

pub(super) fn action_text(action: &FailoverAction) -> Option<String> {
    let text = match action {
        FailoverAction::Probe { .. } | FailoverAction::ShareDoubt { .. } => return None,
        FailoverAction::ShareSuspicion { term } => format!("share_suspicion term={term}"),
        FailoverAction::ShareLiveness { term } => format!("share_liveness term={term}"),
        FailoverAction::Record { term, nonce } => format!("record term={term} nonce={nonce}"),
        FailoverAction::Fence {
            instance,
            term,
            nonce,
        } => format!("fence {instance} term={term} nonce={nonce}"),
        FailoverAction::CatchUp {
            instance,
            from,
            position,
        } => format!("catch_up {instance} from={from} position={position}"),
        FailoverAction::Promote {
            instance,
            term,
            nonce,
        } => format!("promote {instance} term={term} nonce={nonce}"),
        FailoverAction::Follow {
            instance,
            primary,
            term,
        } => format!("follow {instance} primary={primary} term={term}"),
        FailoverAction::Announce { term, primary } => format!("announce {primary} term={term}"),
    };
    Some(text)
}

fn status_text(status: Option<&InstanceStatus>) -> String {
    let Some(status) = status else {
        return " silent".to_owned();
    };
    format!(
        " role={} in_term={} log={} applied={} fence={}/{} open={} history={}",
        status.role.as_str(),
        status.term,
        status.received,
        status.applied,
        status.fence_term,
        status.fence_nonce,
        status.open_transactions,
        status.history,
    )
}

fn milliseconds(at: Monotonic) -> String {
    let below_ms = at.subsec_nanos() % 1_000_000;
    if below_ms == 0 {
        return at.as_millis().to_string();
    }
    format!("{}.{below_ms:06}", at.as_millis())
}

fn push(line: &mut String, text: std::fmt::Arguments<'_>) {
    line.write_fmt(text)
        .expect("writing to a string never fails");
}
