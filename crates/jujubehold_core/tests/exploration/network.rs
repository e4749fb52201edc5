//! The simulated network: the delivery of requests and replies, and how instances execute
//! requests.

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;

use crate::instance::CommitResult;
use crate::message::{Event, Reply, Request};
use crate::simulation::{SimTime, Simulation};

impl Simulation {
    /// Returns the delays of the copies of a message: none when it is lost, two when it is
    /// duplicated.
    pub(crate) fn deliveries(&mut self, from: &DomainId, to: &DomainId) -> Vec<SimTime> {
        if self.is_partitioned(from, to) || self.random.percent(3) {
            return Vec::new();
        }
        let copies = if self.random.percent(3) { 2 } else { 1 };
        (0..copies)
            .map(|_| {
                if self.random.percent(2) {
                    self.random.between(100, 1500)
                } else {
                    self.random.between(1, 15)
                }
            })
            .collect()
    }

    pub(crate) fn is_partitioned(&self, from: &DomainId, to: &DomainId) -> bool {
        let is_partitioned = |key: (DomainId, DomainId)| {
            self.partitions
                .get(&key)
                .is_some_and(|until| *until > self.now)
        };
        is_partitioned((from.clone(), to.clone())) || is_partitioned((to.clone(), from.clone()))
    }

    pub(crate) fn send(&mut self, host: usize, instance: &InstanceId, request: Request) {
        self.next_number += 1;
        let number = self.next_number;
        let sent_at = self.clock(host);
        let domain = self.hosts[host].domain.clone();
        let instance_domain = self.config.instances[instance].domain.clone();
        let instance = instance.clone();
        for delay in self.deliveries(&domain, &instance_domain) {
            let (instance, request) = (instance.clone(), request.clone());
            self.push(
                delay,
                Event::RequestArrived {
                    host,
                    instance,
                    request,
                    sent_at,
                    number,
                },
            );
        }
        self.push(
            300,
            Event::ReplyArrived {
                host,
                instance,
                request,
                sent_at,
                number,
                reply: None,
            },
        );
    }

    pub(crate) fn on_request(
        &mut self,
        host: usize,
        instance: InstanceId,
        request: Request,
        sent_at: Monotonic,
        number: u64,
    ) {
        let frozen_until = self
            .instance_frozen_until
            .get(&instance)
            .copied()
            .unwrap_or(0);
        if frozen_until > self.now {
            // A frozen instance handles waiting requests when it resumes.
            let delay = frozen_until - self.now;
            self.push(
                delay,
                Event::RequestArrived {
                    host,
                    instance,
                    request,
                    sent_at,
                    number,
                },
            );
            return;
        }
        if self.instances[&instance].is_down {
            return;
        }
        // A connection delivers a statement once: TCP and the forwarding stream number what they
        // carry. Other requests may be sent twice, so they are duplicated here.
        if matches!(request, Request::Commit { .. }) && !self.committed.insert(number) {
            return;
        }
        let reply = self.execute(&instance, &request);
        let mut status = self.instances[&instance].status();
        if !matches!(
            request,
            Request::Fence { .. } | Request::Promote { .. } | Request::CatchUp { .. }
        ) {
            status = self.instances[&instance].reported_status();
        }
        let from = self.config.instances[&instance].domain.clone();
        let to = self.hosts[host].domain.clone();
        for delay in self.deliveries(&from, &to) {
            let (instance, request) = (instance.clone(), request.clone());
            let reply = Some((status.clone(), reply.clone()));
            self.push(
                delay,
                Event::ReplyArrived {
                    host,
                    instance,
                    request,
                    sent_at,
                    number,
                    reply,
                },
            );
        }
    }

    fn execute(&mut self, name: &InstanceId, request: &Request) -> Reply {
        let now = self.now;
        if let Request::CatchUp { from, position } = request {
            let source = self.instances[from].clone();
            let domain = |name| &self.config.instances[name].domain;
            let is_reachable = !source.is_down && !self.is_partitioned(domain(name), domain(from));
            if is_reachable && let Some(instance) = self.instances.get_mut(name) {
                instance.catch_up(&source, *position);
            }
            return Reply::Status;
        }
        let instance = self
            .instances
            .get_mut(name)
            .expect("the instance is configured");
        match request {
            Request::Status
            | Request::Confirm { .. }
            | Request::ProveAgain { .. }
            | Request::CatchUp { .. } => Reply::Status,
            Request::Fence { term, nonce } => {
                instance.fence(*term, *nonce);
                Reply::Status
            }
            Request::Promote { term, nonce } => {
                if instance.promote(*term, *nonce) {
                    let promoted = instance.clone();
                    let earlier = self.promoted_at.insert(*term, now);
                    assert!(earlier.is_none(), "two primaries of term {term}");
                    self.callers.check_promoted(&promoted, &self.config);
                }
                Reply::Status
            }
            Request::Follow { term, primary } => {
                instance.follow(*term, primary);
                Reply::Status
            }
            Request::Commit {
                write, has_record, ..
            } => match instance.commit(*write, *has_record) {
                CommitResult::Committed => Reply::Committed,
                CommitResult::AlreadyRan => Reply::AlreadyRan,
                CommitResult::Refused => Reply::Refused,
            },
            Request::Lookup { write, .. } => {
                if instance.role == Role::Primary {
                    Reply::Found(instance.has(*write))
                } else {
                    Reply::Refused
                }
            }
            Request::Read { .. } => {
                let data = instance.readable().iter().map(|entry| entry.write);
                Reply::Data(data.collect())
            }
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        host: usize,
        instance: &InstanceId,
        request: &Request,
        sent_at: Monotonic,
        reply: Option<(InstanceStatus, Reply)>,
    ) {
        let status = reply.as_ref().map(|(status, _)| status.clone());
        let instance = instance.clone();
        match request.clone() {
            Request::Status | Request::Follow { .. } => {
                let event = FailoverEvent::Probed {
                    instance,
                    sent_at,
                    status,
                };
                self.on_failover_event(host, event);
            }
            Request::Fence { term, nonce } => {
                self.on_failover_event(
                    host,
                    FailoverEvent::Fenced {
                        instance,
                        term,
                        nonce,
                        status,
                    },
                );
            }
            Request::Promote { term, .. } => {
                self.on_failover_event(
                    host,
                    FailoverEvent::Promoted {
                        instance,
                        term,
                        status,
                    },
                );
            }
            Request::CatchUp { .. } => {
                self.on_failover_event(host, FailoverEvent::CaughtUp { instance, status });
            }
            Request::Confirm { .. }
            | Request::ProveAgain { .. }
            | Request::Commit { .. }
            | Request::Lookup { .. }
            | Request::Read { .. } => self.on_call_reply(host, &instance, request, sent_at, reply),
        }
    }
}
