//! A link that this host opened to an owner of instance connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

use super::frame::{FIRST_PROTOCOL, FailedReason, Frame, FrameBody, RefusedMessage, ReplyMessage};
use super::link_io::{LinkError, Outbox, read_all};
use super::link_metrics::LinkMetrics;
use crate::clock::Clock;
use crate::prelude::*;
use crate::protocol::UpstreamReply;

/// How long opening a link may take: several round trips between regions.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after the begin of a link an owner may take to state its protocol: the time to open the
/// link, and a pause of a host that has used up its share of a core.
const PROTOCOL_TIMEOUT: Duration = Duration::from_millis(450);
/// If an owner has sent nothing for this long while a request waits, it is asked whether it is
/// there.
const PING_AFTER: Duration = Duration::from_millis(150);
/// If an owner has sent nothing for this long while a request waits, it gets no new requests for a
/// while, and reads are tried elsewhere. It leaves the answer to a ping 200 ms: a round trip between
/// regions takes 40 ms, and a host that has used up its share of a core pauses for up to 100 ms.
const SILENT_AFTER: Duration = Duration::from_millis(350);
/// If an owner has sent nothing for this long while a request waits, the link is closed. This is
/// longer than the timeouts of most statements, since closing it makes the outcome of every write
/// that waits unknown.
const CLOSE_SILENT_AFTER: Duration = Duration::from_secs(3);
/// How often a link with open leases sends something, so that the owner can tell this host from one
/// that is gone.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a link is kept without leases.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What became of a request on a link.
#[derive(Debug)]
pub(crate) enum LinkAnswer {
    /// The instance replied. Also states how long the statement waited at the owner.
    Reply(UpstreamReply, Duration),
    /// The owner refused the statement, which did not run.
    Refused(RefusedMessage),
    /// The owner sent the statement to the instance and got no reply.
    Failed(FailedReason),
    /// The link failed before anything of the request was written to it.
    NotHandedOver,
    /// The link failed after the request was written to it.
    Lost,
    /// The owner is silent, and the request may be sent elsewhere.
    Silent,
}

#[derive(Debug)]
struct Pending {
    /// Where the request ends in the bytes of the link.
    end: u64,
    /// Whether the statement may run twice.
    is_repeatable: bool,
    /// The rows of the reply that have arrived.
    rows: Vec<Bytes>,
    sender: oneshot::Sender<LinkAnswer>,
}

/// A link that this host opened.
#[derive(Debug)]
pub(crate) struct PeerLink {
    host: HostId,
    clock: Clock,
    metrics: Rc<LinkMetrics>,
    outbox: Outbox,
    pending: RefCell<BTreeMap<u64, Pending>>,
    last_lease: Cell<u64>,
    open_leases: Cell<usize>,
    /// Since when requests have waited without a pause.
    waiting_since: Cell<Monotonic>,
    received_at: Cell<Monotonic>,
    sent_at: Cell<Monotonic>,
    is_connected: Cell<bool>,
    is_ended: Cell<bool>,
    /// Makes the link end.
    end: Notify,
    begun_at: Monotonic,
    /// The version of the messages that the owner speaks.
    protocol: Cell<u32>,
    /// Wakes the requests that wait for the owner's protocol, also when the link ends.
    protocol_stated: Notify,
}

/// What the monitor of all links found out about one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkHealth {
    Usable,
    /// The owner has not sent anything for too long.
    Silent,
    /// The link has ended or is ending.
    Ended,
}

impl PeerLink {
    /// Opens a link in the background. Requests may be made at once.
    pub(super) fn open(
        clock: Clock,
        metrics: Rc<LinkMetrics>,
        host: HostId,
        address: SocketAddr,
        failed: impl FnOnce(&HostId, &LinkError, bool) + 'static,
    ) -> Rc<Self> {
        let now = clock.now();
        metrics.opens.increment(1);
        let link = Rc::new(Self {
            host,
            clock,
            metrics,
            outbox: Outbox::default(),
            pending: RefCell::new(BTreeMap::new()),
            last_lease: Cell::new(0),
            open_leases: Cell::new(0),
            waiting_since: Cell::new(now),
            received_at: Cell::new(now),
            sent_at: Cell::new(now),
            is_connected: Cell::new(false),
            is_ended: Cell::new(false),
            end: Notify::new(),
            begun_at: now,
            protocol: Cell::new(FIRST_PROTOCOL),
            protocol_stated: Notify::new(),
        });
        let running = Rc::clone(&link);
        actix_rt::spawn(async move {
            let error = running.run(address).await;
            running.is_ended.set(true);
            running.protocol_stated.notify_waiters();
            running.fail_all();
            failed(&running.host, &error, running.is_connected.get());
        });
        link
    }

    /// Returns whether the link can take no more requests.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Returns the host that the link leads to.
    pub(crate) fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns whether the owner speaks `protocol`. If the link has just begun, waits for the owner to
    /// state it.
    pub(crate) async fn speaks(&self, protocol: u32) -> bool {
        while self.protocol.get() < protocol && !self.is_ended() {
            let age = self.clock.now().saturating_sub(self.begun_at);
            let remaining = PROTOCOL_TIMEOUT.saturating_sub(age);
            let stated = self.protocol_stated.notified();
            if tokio::time::timeout(remaining, stated).await.is_err() {
                break;
            }
        }
        self.protocol.get() >= protocol
    }

    /// Begins a lease and returns its number.
    pub(crate) fn begin_lease(&self) -> u64 {
        self.open_leases.set(self.open_leases.get() + 1);
        self.last_lease.set(self.last_lease.get() + 1);
        self.metrics.begun_leases.increment(1);
        self.last_lease.get()
    }

    /// Ends a lease. Sends a release unless the owner has ended the lease already.
    pub(crate) fn end_lease(&self, lease: u64, release: Option<bool>) {
        self.open_leases
            .set(self.open_leases.get().saturating_sub(1));
        self.pending.borrow_mut().remove(&lease);
        if let Some(is_clean) = release {
            self.put(lease, FrameBody::Release(is_clean));
        }
    }

    /// Sends a request and returns what became of it. A lease has at most one request at a time.
    pub(crate) async fn request(
        &self,
        lease: u64,
        body: FrameBody,
        is_repeatable: bool,
    ) -> LinkAnswer {
        if self.is_ended() {
            return LinkAnswer::NotHandedOver;
        }
        let (sender, receiver) = oneshot::channel();
        let end = self.put(lease, body);
        {
            let mut pending = self.pending.borrow_mut();
            if pending.is_empty() {
                self.waiting_since.set(self.clock.now());
            }
            let request = Pending {
                end,
                is_repeatable,
                rows: Vec::new(),
                sender,
            };
            pending.insert(lease, request);
        }
        receiver.await.unwrap_or(LinkAnswer::Lost)
    }

    fn put(&self, lease: u64, body: FrameBody) -> u64 {
        if self.is_ended() {
            return 0;
        }
        self.sent_at.set(self.clock.now());
        let frame = Frame {
            lease,
            body: Some(body),
        };
        self.outbox.put(&frame)
    }

    async fn run(&self, address: SocketAddr) -> LinkError {
        let connecting = tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return error.into(),
            Err(_) => return LinkError::Silent,
        };
        if let Err(error) = stream.set_nodelay(true) {
            return error.into();
        }
        self.is_connected.set(true);
        self.received_at.set(self.clock.now());
        let (reader, writer) = stream.into_split();
        tokio::select! {
            error = read_all(reader, &self.metrics.received_bytes, |frame| self.handle(frame)) =>
                error,
            error = self.outbox.write_all(writer, &self.metrics.sent_bytes) => error,
            () = self.end.notified() => {
                let is_unused = self.open_leases.get() == 0;
                if is_unused { LinkError::Unused } else { LinkError::Silent }
            }
        }
    }

    fn handle(&self, frame: Frame) {
        self.received_at.set(self.clock.now());
        let Some(body) = frame.body else {
            return;
        };
        let answer = match body {
            FrameBody::Rows(message) => {
                if let Some(pending) = self.pending.borrow_mut().get_mut(&frame.lease) {
                    pending.rows.extend(message.rows);
                }
                return;
            }
            FrameBody::Protocol(protocol) => {
                self.protocol.set(protocol);
                self.protocol_stated.notify_waiters();
                return;
            }
            FrameBody::Reply(message) => return self.deliver_reply(frame.lease, *message),
            FrameBody::Refused(message) => LinkAnswer::Refused(message),
            FrameBody::Failed(reason) => LinkAnswer::Failed(
                FailedReason::try_from(reason).unwrap_or(FailedReason::ConnectionLost),
            ),
            FrameBody::Acquire(_)
            | FrameBody::Run(_)
            | FrameBody::Release(_)
            | FrameBody::Ping(_)
            | FrameBody::Pong(_) => return,
        };
        if let Some(pending) = self.pending.borrow_mut().remove(&frame.lease) {
            // Whoever made the request may have given up.
            let _ = pending.sender.send(answer);
        }
    }

    fn deliver_reply(&self, lease: u64, message: ReplyMessage) {
        let Some(pending) = self.pending.borrow_mut().remove(&lease) else {
            return;
        };
        let waited = Duration::from_micros(message.waited_us.into());
        let answer = match message.into_reply(pending.rows) {
            Some(reply) => LinkAnswer::Reply(reply, waited),
            None => LinkAnswer::Failed(FailedReason::Malformed),
        };
        // Whoever made the request may have given up.
        let _ = pending.sender.send(answer);
    }

    fn fail_all(&self) {
        for pending in std::mem::take(&mut *self.pending.borrow_mut()).into_values() {
            let answer = if self.outbox.is_handed_over(pending.end) {
                LinkAnswer::Lost
            } else {
                LinkAnswer::NotHandedOver
            };
            // Whoever made the request may have given up.
            let _ = pending.sender.send(answer);
        }
    }

    // Lets the requests that may run twice be sent elsewhere.
    fn fail_repeatable(&self) {
        let mut pending = self.pending.borrow_mut();
        let repeatable: Vec<_> = pending
            .extract_if(.., |_, request| request.is_repeatable)
            .collect();
        drop(pending);
        for (_, request) in repeatable {
            // Whoever made the request may have given up.
            let _ = request.sender.send(LinkAnswer::Silent);
        }
    }

    /// Checks the link at `now`: pings the owner if it is silent, and ends a link that is not used.
    pub(super) fn check(&self, now: Monotonic) -> LinkHealth {
        if self.is_ended() {
            return LinkHealth::Ended;
        }
        let since_sent = now.saturating_sub(self.sent_at.get());
        if self.open_leases.get() == 0 && self.is_connected.get() && since_sent > IDLE_TIMEOUT {
            self.is_ended.set(true);
            self.end.notify_one();
            return LinkHealth::Ended;
        }
        if self.open_leases.get() > 0 && since_sent >= KEEPALIVE_INTERVAL {
            self.put(0, FrameBody::Ping(true));
        }
        if self.pending.borrow().is_empty() || !self.is_connected.get() {
            return LinkHealth::Usable;
        }
        let heard_at = self.received_at.get().max(self.waiting_since.get());
        let silence = now.saturating_sub(heard_at);
        if silence >= CLOSE_SILENT_AFTER {
            self.end.notify_one();
        }
        if silence >= SILENT_AFTER {
            self.fail_repeatable();
            return LinkHealth::Silent;
        }
        if silence >= PING_AFTER {
            self.put(0, FrameBody::Ping(true));
        }
        LinkHealth::Usable
    }
}
