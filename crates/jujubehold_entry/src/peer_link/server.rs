//! Accepts links of other hosts and serves their leases.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Weak;

use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::frame::{AcquireMessage, Frame, FrameBody, OWN_PROTOCOL, RefusedMessage, RefusedReason};
use super::link_io::{LinkError, Outbox, read_all};
use super::served_lease::{LeaseCommand, serve_lease};
use crate::prelude::*;

/// How long the listener pauses after it failed to accept a link.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// The maximum number of leases on one link.
const MAX_LEASES: usize = 4_096;
/// How often a link is checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// If a host with open leases has sent nothing for this long, its link is closed, since it may hold
/// transactions open that it will never end. A host that is there sends something each second.
const CLOSE_SILENT_AFTER: Duration = Duration::from_secs(4);

/// A link that another host opened.
#[derive(Debug)]
pub(super) struct ServerLink {
    outbox: Outbox,
    leases: RefCell<BTreeMap<u64, RunningLease>>,
    received_at: Cell<Monotonic>,
}

#[derive(Debug)]
struct RunningLease {
    task: JoinHandle<()>,
    commands: mpsc::UnboundedSender<LeaseCommand>,
}

impl ServerLink {
    /// Sends a message about a lease.
    pub(super) fn send(&self, lease: u64, body: FrameBody) {
        let frame = Frame {
            lease,
            body: Some(body),
        };
        self.outbox.put(&frame);
    }

    /// Forgets a lease that has ended.
    pub(super) fn remove_lease(&self, number: u64) {
        self.leases.borrow_mut().remove(&number);
    }

    fn command(&self, lease: u64, command: LeaseCommand) -> bool {
        let leases = self.leases.borrow();
        let running = leases.get(&lease);
        running.is_some_and(|running| running.commands.send(command).is_ok())
    }

    // Drops work that has not begun, and closes the lease's connection.
    fn close_lease(&self, number: u64) {
        let running = self.leases.borrow_mut().remove(&number);
        if let Some(running) = running {
            running.task.abort();
        }
    }

    fn close_all_leases(&self) -> usize {
        let leases = std::mem::take(&mut *self.leases.borrow_mut());
        let count = leases.len();
        for running in leases.into_values() {
            running.task.abort();
        }
        count
    }
}

/// The links that other hosts opened to this one.
#[derive(Debug, Default)]
pub(crate) struct ServerLinks {
    links: RefCell<Vec<Weak<ServerLink>>>,
}

impl ServerLinks {
    fn add(&self, link: &Rc<ServerLink>) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| link.strong_count() > 0);
        links.push(Rc::downgrade(link));
    }

    /// Returns whether a frame on any link has not been written completely.
    pub(crate) fn have_unsent_frames(&self) -> bool {
        let links = self.links.borrow();
        let mut open = links.iter().filter_map(Weak::upgrade);
        open.any(|link| link.outbox.has_unsent())
    }
}

/// Accepts and serves links until the future is dropped.
pub(crate) async fn accept_links<P: Platform>(shared: Rc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_link(Rc::clone(&shared), stream));
            }
            Err(error) => {
                warn!(error:% = error; "failed to accept a link");
                actix_rt::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve_link<P: Platform>(shared: Rc<Shared<P>>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let link = Rc::new(ServerLink {
        outbox: Outbox::default(),
        leases: RefCell::new(BTreeMap::new()),
        received_at: Cell::new(shared.now()),
    });
    shared.server_links.add(&link);
    link.send(0, FrameBody::Protocol(OWN_PROTOCOL));
    let metrics = Rc::clone(&shared.peer_links.metrics);
    let (reader, writer) = stream.into_split();
    let error = tokio::select! {
        error = read_all(reader, &metrics.received_bytes, |frame| handle(&shared, &link, frame)) =>
            error,
        error = link.outbox.write_all(writer, &metrics.sent_bytes) => error,
        error = wait_for_silence(&shared, &link) => error,
    };
    let leases = link.close_all_leases();
    if leases > 0 && shared.log.allows(shared.now()) {
        info!(error:% = error, leases; "closed the leases of a lost link");
    }
}

async fn wait_for_silence<P: Platform>(shared: &Shared<P>, link: &ServerLink) -> LinkError {
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let silence = shared.now().saturating_sub(link.received_at.get());
        if silence > CLOSE_SILENT_AFTER && !link.leases.borrow().is_empty() {
            return LinkError::Silent;
        }
    }
}

fn handle<P: Platform>(shared: &Rc<Shared<P>>, link: &Rc<ServerLink>, frame: Frame) {
    let now = shared.now();
    link.received_at.set(now);
    let Some(body) = frame.body else {
        return;
    };
    match body {
        FrameBody::Acquire(acquire) => begin_lease(shared, link, frame.lease, *acquire, now),
        FrameBody::Run(run) => {
            if !link.command(frame.lease, LeaseCommand::Run(run)) {
                let reason = super::FailedReason::ConnectionLost;
                link.send(frame.lease, FrameBody::Failed(reason.into()));
            }
        }
        FrameBody::Release(true) => {
            // A lease that has ended needs no release.
            link.command(frame.lease, LeaseCommand::Finish);
        }
        FrameBody::Release(false) => link.close_lease(frame.lease),
        FrameBody::Ping(_) => link.send(frame.lease, FrameBody::Pong(true)),
        FrameBody::Rows(_)
        | FrameBody::Reply(_)
        | FrameBody::Refused(_)
        | FrameBody::Failed(_)
        | FrameBody::Pong(_)
        | FrameBody::Protocol(_) => {}
    }
}

fn begin_lease<P: Platform>(
    shared: &Rc<Shared<P>>,
    link: &Rc<ServerLink>,
    number: u64,
    acquire: AcquireMessage,
    received_at: Monotonic,
) {
    if link.leases.borrow().len() >= MAX_LEASES {
        let message = RefusedMessage {
            reason: RefusedReason::TooManyLeases.into(),
            expected_wait_ms: 0,
        };
        link.send(number, FrameBody::Refused(message));
        return;
    }
    shared.peer_links.metrics.served_leases.increment(1);
    let (sender, receiver) = mpsc::unbounded_channel();
    let serving = serve_lease(
        Rc::clone(shared),
        Rc::clone(link),
        number,
        acquire,
        received_at,
        receiver,
    );
    let running = RunningLease {
        task: actix_rt::spawn(serving),
        commands: sender,
    };
    link.leases.borrow_mut().insert(number, running);
}
