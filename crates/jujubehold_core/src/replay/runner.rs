//! Runs the events of a trace.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::acknowledgement::CommitEvidence;
use crate::admission::{Admission, Ticket};
use crate::config_store::ConfigStore;
use crate::drain::Drain;
use crate::failover::{Failover, FailoverSettings};
use crate::frame_order::FrameOrder;
use crate::lease::Lease;
use crate::ownership::Watcher;
use crate::read_policy::ReadNeed;
use crate::replay::TraceErrorKind;
use crate::replay::line::TraceLine;
use crate::service_config::{Confirm, InstanceConfig, InstanceState, ServiceConfig};

/// The state of the host whose events a trace records.
#[derive(Default)]
pub(super) struct Runner {
    pub(super) config: ServiceConfig,
    pub(super) failover: Option<Failover>,
    pub(super) commits: BTreeMap<String, CommitEvidence>,
    pub(super) reads: BTreeMap<String, ReadNeed>,
    pub(super) admission: Option<Admission>,
    pub(super) tickets: BTreeMap<Ticket, String>,
    pub(super) configs: ConfigStore,
    pub(super) drain: Option<Drain>,
    pub(super) leases: BTreeMap<String, Lease>,
    pub(super) frames: BTreeMap<String, FrameOrder>,
}

pub(super) type Outcomes = Result<Vec<String>, TraceErrorKind>;

impl Runner {
    pub(super) fn run(&mut self, line: &TraceLine<'_>) -> Outcomes {
        match line.verb {
            "promise" => Ok(Vec::new()),
            "group" => self.on_group(line),
            "instance" => self.on_instance(line),
            "watchers" => self.on_watchers(line),
            "probed" | "refused" | "suspicion" | "doubt" | "liveness" | "announced"
            | "recorded" | "fenced" | "caught_up" | "promoted" | "change" | "tick" => {
                self.on_failover(line)
            }
            "commit" => self.on_commit(line),
            "confirmed" => self.on_confirmed(line),
            "proved" => self.on_proved(line),
            "decide" => self.on_decide(line),
            "read" => self.on_read(line),
            "answered" => self.on_answered(line),
            "rerun" => Self::on_rerun(line),
            "slots" => self.on_slots(line),
            "offer" => self.on_offer(line),
            "release" => self.on_release(line),
            "config" => self.on_config(line),
            "platform" => self.on_platform(line),
            "drain" => self.on_drain(line),
            "lease" => self.on_lease(line),
            "frame" => self.on_frame(line),
            other => Err(TraceErrorKind::UnknownEvent(other.to_owned())),
        }
    }

    // group NAME INSTANCE@DOMAIN... host= domain= seed= confirm= read_age_ms=
    fn on_group(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let service = line.word(0, "service name")?;
        let mut config = ServiceConfig {
            service: service.into(),
            generation: 1,
            confirm: match line.pair("confirm") {
                Some("none") => Confirm::None,
                Some(_) | None => Confirm::Replica,
            },
            read_age: line.duration_or("read_age_ms", Duration::ZERO)?,
            ..ServiceConfig::default()
        };
        for word in line.words().iter().skip(1) {
            let (name, domain) = word
                .split_once('@')
                .ok_or_else(|| TraceErrorKind::Malformed((*word).to_owned()))?;
            let instance = InstanceConfig {
                // A trace opens no connection.
                address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
                domain: domain.into(),
                region: "region".into(),
                state: InstanceState::Active,
                connections: 20,
            };
            config.instances.insert(name.into(), instance);
        }
        let host = line.pair("host").unwrap_or("h1").into();
        let domain = line.pair("domain").unwrap_or("delta").into();
        let seed = line.number_or("seed", 1)?;
        let settings = FailoverSettings::default();
        self.failover = Some(Failover::new(settings, &config, host, domain, seed));
        self.config = config;
        Ok(Vec::new())
    }

    // instance NAME state=
    fn on_instance(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let name = line.word(0, "instance")?;
        let state = match line.required("state")? {
            "active" => InstanceState::Active,
            "leaving" => InstanceState::Leaving,
            other => return Err(TraceErrorKind::Malformed(other.to_owned())),
        };
        if let Some(instance) = self.config.instances.get_mut(name) {
            instance.state = state;
        }
        let failover = self.failover.as_mut().ok_or(TraceErrorKind::NoGroup)?;
        failover.set_config(&self.config);
        Ok(Vec::new())
    }

    // watchers HOST@DOMAIN...
    fn on_watchers(&mut self, line: &TraceLine<'_>) -> Outcomes {
        let mut watchers = Vec::new();
        for word in line.words() {
            let (host, domain) = word
                .split_once('@')
                .ok_or_else(|| TraceErrorKind::Malformed((*word).to_owned()))?;
            watchers.push(Watcher {
                host: host.into(),
                domain: domain.into(),
            });
        }
        let failover = self.failover.as_mut().ok_or(TraceErrorKind::NoGroup)?;
        failover.set_watchers(watchers);
        Ok(Vec::new())
    }

    pub(super) fn failover(&self) -> Result<&Failover, TraceErrorKind> {
        self.failover.as_ref().ok_or(TraceErrorKind::NoGroup)
    }
}
