//! A link of limited rate.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

/// The part of a body that is sent at once, as in a packet.
const PACKET_BYTES: usize = 4 * 1024;

/// The link to one host, which all of its connections share. It is unlimited at first.
#[derive(Debug, Default)]
pub struct ThinLink {
    bytes_per_second: Cell<Option<u32>>,
    free_at: Cell<Option<Instant>>,
    sent_bytes: Cell<u64>,
}

impl ThinLink {
    /// Limits the rate, or removes the limit.
    pub fn set_bytes_per_second(&self, rate: Option<u32>) {
        self.bytes_per_second.set(rate);
    }

    /// Returns the number of bytes of bodies that were sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    // Takes the link for `bytes` after what was sent before. Returns how long that takes.
    fn reserve(&self, bytes: usize) -> Duration {
        let Some(rate) = self.bytes_per_second.get() else {
            return Duration::ZERO;
        };
        let now = Instant::now();
        let start = self.free_at.get().map_or(now, |free_at| free_at.max(now));
        let micros = bytes as u64 * 1_000_000 / u64::from(rate);
        let end = start + Duration::from_micros(micros);
        self.free_at.set(Some(end));
        end - now
    }
}

/// A body that is sent at the rate of a link.
#[derive(Debug)]
pub(crate) struct ThinBody {
    link: Rc<ThinLink>,
    left: Bytes,
    packet: Option<(Bytes, Pin<Box<Sleep>>)>,
}

impl ThinBody {
    pub(crate) fn new(link: Rc<ThinLink>, body: Bytes) -> Self {
        Self {
            link,
            left: body,
            packet: None,
        }
    }
}

impl Body for ThinBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.packet.is_none() {
            if self.left.is_empty() {
                return Poll::Ready(None);
            }
            let length = self.left.len().min(PACKET_BYTES);
            let packet = self.left.split_to(length);
            let delay = self.link.reserve(length);
            self.packet = Some((packet, Box::pin(tokio::time::sleep(delay))));
        }
        let Some((_, sent)) = &mut self.packet else {
            return Poll::Ready(None);
        };
        ready!(sent.as_mut().poll(context));
        let packet = self.packet.take().map(|(packet, _)| packet);
        let packet = packet.unwrap_or_default();
        let sent_bytes = self.link.sent_bytes.get() + packet.len() as u64;
        self.link.sent_bytes.set(sent_bytes);
        Poll::Ready(Some(Ok(Frame::data(packet))))
    }

    fn size_hint(&self) -> SizeHint {
        let in_packet = self.packet.as_ref().map_or(0, |(packet, _)| packet.len());
        SizeHint::with_exact((self.left.len() + in_packet) as u64)
    }
}
