//! How questions and answers travel, and what the instances make of them.

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;

use crate::instance::CommitAnswer;
use crate::message::{Answer, Ask, Event};
use crate::world::{At, World};

impl World {
    /// When the copies of a message arrive: none when it is lost, two when it is doubled.
    pub(crate) fn deliveries(&mut self, from: &DomainId, to: &DomainId) -> Vec<At> {
        if self.is_cut(from, to) || self.random.percent(3) {
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

    pub(crate) fn is_cut(&self, from: &DomainId, to: &DomainId) -> bool {
        let is_cut =
            |key: (DomainId, DomainId)| self.cuts.get(&key).is_some_and(|until| *until > self.now);
        is_cut((from.clone(), to.clone())) || is_cut((to.clone(), from.clone()))
    }

    pub(crate) fn ask(&mut self, host: usize, instance: &InstanceId, ask: Ask) {
        self.next_number += 1;
        let number = self.next_number;
        let asked_at = self.clock(host);
        let domain = self.hosts[host].domain.clone();
        let instance_domain = self.config.instances[instance].domain.clone();
        let instance = instance.clone();
        for delay in self.deliveries(&domain, &instance_domain) {
            let (instance, ask) = (instance.clone(), ask.clone());
            self.push(
                delay,
                Event::Asked {
                    host,
                    instance,
                    ask,
                    asked_at,
                    number,
                },
            );
        }
        self.push(
            300,
            Event::Answered {
                host,
                instance,
                ask,
                asked_at,
                number,
                answer: None,
            },
        );
    }

    pub(crate) fn on_asked(
        &mut self,
        host: usize,
        instance: InstanceId,
        ask: Ask,
        asked_at: Monotonic,
        number: u64,
    ) {
        let wakes_at = self.instance_wakes_at.get(&instance).copied().unwrap_or(0);
        if wakes_at > self.now {
            // A frozen instance takes what waits for it when it wakes.
            let delay = wakes_at - self.now;
            self.push(
                delay,
                Event::Asked {
                    host,
                    instance,
                    ask,
                    asked_at,
                    number,
                },
            );
            return;
        }
        if self.instances[&instance].is_down {
            return;
        }
        // A connection delivers a statement once: TCP and the forwarding stream number what they
        // carry. Questions, which may be asked twice, are doubled here all the same.
        if matches!(ask, Ask::Commit { .. }) && !self.committed.insert(number) {
            return;
        }
        let answer = self.execute(&instance, &ask);
        let mut status = self.instances[&instance].status();
        if !matches!(
            ask,
            Ask::Fence { .. } | Ask::Promote { .. } | Ask::CatchUp { .. }
        ) {
            status = self.instances[&instance].shown_status();
        }
        let from = self.config.instances[&instance].domain.clone();
        let to = self.hosts[host].domain.clone();
        for delay in self.deliveries(&from, &to) {
            let (instance, ask) = (instance.clone(), ask.clone());
            let answer = Some((status.clone(), answer.clone()));
            self.push(
                delay,
                Event::Answered {
                    host,
                    instance,
                    ask,
                    asked_at,
                    number,
                    answer,
                },
            );
        }
    }

    fn execute(&mut self, name: &InstanceId, ask: &Ask) -> Answer {
        let now = self.now;
        if let Ask::CatchUp { from, position } = ask {
            let source = self.instances[from].clone();
            let domain = |name| &self.config.instances[name].domain;
            let is_reachable = !source.is_down && !self.is_cut(domain(name), domain(from));
            if is_reachable && let Some(instance) = self.instances.get_mut(name) {
                instance.catch_up(&source, *position);
            }
            return Answer::Status;
        }
        let instance = self.instances.get_mut(name).expect("it was asked");
        match ask {
            Ask::Status | Ask::Confirm { .. } | Ask::ProveAgain { .. } | Ask::CatchUp { .. } => {
                Answer::Status
            }
            Ask::Fence { term, nonce } => {
                instance.fence(*term, *nonce);
                Answer::Status
            }
            Ask::Promote { term, nonce } => {
                if instance.promote(*term, *nonce) {
                    let promoted = instance.clone();
                    let earlier = self.promoted_at.insert(*term, now);
                    assert!(earlier.is_none(), "two primaries of term {term}");
                    self.callers.check_promoted(&promoted, &self.config);
                }
                Answer::Status
            }
            Ask::Follow { term, primary } => {
                instance.follow(*term, primary);
                Answer::Status
            }
            Ask::Commit {
                write, has_record, ..
            } => match instance.commit(*write, *has_record) {
                CommitAnswer::Committed => Answer::Committed,
                CommitAnswer::AlreadyRan => Answer::AlreadyRan,
                CommitAnswer::Refused => Answer::Refused,
            },
            Ask::Lookup { write, .. } => {
                if instance.role == Role::Primary {
                    Answer::Found(instance.has(*write))
                } else {
                    Answer::Refused
                }
            }
            Ask::Read { .. } => {
                let data = instance.readable().iter().map(|entry| entry.write);
                Answer::Data(data.collect())
            }
        }
    }

    pub(crate) fn on_answered(
        &mut self,
        host: usize,
        instance: &InstanceId,
        ask: &Ask,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        let status = answer.as_ref().map(|(status, _)| status.clone());
        let instance = instance.clone();
        match ask.clone() {
            Ask::Status | Ask::Follow { .. } => {
                let event = FailoverEvent::Probed {
                    instance,
                    sent_at: asked_at,
                    status,
                };
                self.feed(host, event);
            }
            Ask::Fence { term, nonce } => {
                self.feed(
                    host,
                    FailoverEvent::Fenced {
                        instance,
                        term,
                        nonce,
                        status,
                    },
                );
            }
            Ask::Promote { term, .. } => {
                self.feed(
                    host,
                    FailoverEvent::Promoted {
                        instance,
                        term,
                        status,
                    },
                );
            }
            Ask::CatchUp { .. } => {
                self.feed(host, FailoverEvent::CaughtUp { instance, status });
            }
            Ask::Confirm { .. }
            | Ask::ProveAgain { .. }
            | Ask::Commit { .. }
            | Ask::Lookup { .. }
            | Ask::Read { .. } => self.on_caller_answer(host, &instance, ask, asked_at, answer),
        }
    }
}
