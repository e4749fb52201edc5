//! The links that this host opened, and the owners that it does not use for a while.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use log::info;
use metrics::counter;

use super::link::{LinkHealth, PeerLink};
use super::link_io::LinkError;
use super::link_metrics::LinkMetrics;
use crate::clock::Clock;
use crate::decision_log::DecisionLog;
use crate::metric_names::OWNER_RETRIES;
use crate::prelude::*;

/// How often the links are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an owner that does not respond, or that is leaving, gets no new requests.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// The links that this host opened.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    clock: Clock,
    pub(crate) metrics: Rc<LinkMetrics>,
    log: Rc<DecisionLog>,
    links: RefCell<BTreeMap<HostId, Rc<PeerLink>>>,
    /// The owners that get no new requests, and until when.
    skipped: RefCell<BTreeMap<HostId, Monotonic>>,
}

impl PeerLinks {
    pub(crate) fn new(clock: Clock, log: Rc<DecisionLog>) -> Self {
        Self {
            clock,
            metrics: Rc::new(LinkMetrics::default()),
            log,
            links: RefCell::new(BTreeMap::new()),
            skipped: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the link to `host`, which is opened if necessary; `None` if the host gets no new
    /// requests now.
    pub(crate) fn link(
        self: &Rc<Self>,
        host: &HostId,
        address: SocketAddr,
    ) -> Option<Rc<PeerLink>> {
        if self.is_skipped(host) {
            return None;
        }
        if let Some(link) = self.links.borrow().get(host)
            && !link.is_ended()
        {
            return Some(Rc::clone(link));
        }
        let links = Rc::downgrade(self);
        let ended = move |host: &HostId, error: &LinkError, was_open: bool| {
            if let Some(links) = links.upgrade() {
                links.note_ended(host, error, was_open);
            }
        };
        let metrics = Rc::clone(&self.metrics);
        let link = PeerLink::open(self.clock, metrics, host.clone(), address, ended);
        self.links
            .borrow_mut()
            .insert(host.clone(), Rc::clone(&link));
        Some(link)
    }

    /// Returns whether `host` gets no new requests now.
    fn is_skipped(&self, host: &HostId) -> bool {
        let skipped = self.skipped.borrow();
        skipped
            .get(host)
            .is_some_and(|until| self.clock.now() < *until)
    }

    /// Makes `host` get no new requests for a while.
    pub(crate) fn skip(&self, host: &HostId, reason: &str) {
        let now = self.clock.now();
        if self.is_skipped(host) {
            return;
        }
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, until| now < *until);
        skipped.insert(host.clone(), now + SKIP_TIME);
        if self.log.allows(now) {
            info!(host = host.as_str(), reason; "an owner of connections gets no new requests");
        }
    }

    /// Counts a statement that an owner did not take and that is sent elsewhere.
    pub(crate) fn count_retry(reason: &'static str) {
        counter!(OWNER_RETRIES, "reason" => reason).increment(1);
    }

    fn note_ended(&self, host: &HostId, error: &LinkError, was_open: bool) {
        let is_unused = matches!(error, LinkError::Unused);
        if self.log.allows(self.clock.now()) {
            info!(host = host.as_str(), was_open, error:% = error; "a link to an owner ended");
        }
        if !was_open && !is_unused {
            self.skip(host, "unreachable");
        }
    }

    fn check(&self) {
        let now = self.clock.now();
        let links: Vec<_> = self.links.borrow().values().cloned().collect();
        for link in links {
            match link.check(now) {
                LinkHealth::Usable => {}
                LinkHealth::Silent => self.skip(link.host(), "silent"),
                LinkHealth::Ended => {
                    let mut links = self.links.borrow_mut();
                    if links
                        .get(link.host())
                        .is_some_and(|current| Rc::ptr_eq(current, &link))
                    {
                        links.remove(link.host());
                    }
                }
            }
        }
    }
}

/// Checks the links until the future is dropped.
pub(crate) async fn monitor_links(links: Rc<PeerLinks>) {
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        links.check();
    }
}
