//! A UDP route, with one socket to the target for each sender.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::direction::Direction;
use crate::route::{Route, draw_delay, draw_event};

/// The maximum size of a forwarded datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Forwards datagrams until the runtime ends.
pub(crate) async fn serve(route: Arc<Route>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut outbound_by_sender: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut random = route.random(0, Direction::Up);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports that a peer refused an earlier datagram.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let outbound = match outbound_by_sender.entry(sender) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => match open(&route, &socket, sender).await {
                Ok(outbound) => new.insert(outbound),
                Err(_) => continue,
            },
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        forward(&route, Direction::Up, &mut random, outbound, None, &bytes);
    }
}

/// Opens a socket to the target and forwards the replies to `sender`.
async fn open(
    route: &Arc<Route>,
    listening: &Arc<UdpSocket>,
    sender: SocketAddr,
) -> std::io::Result<Arc<UdpSocket>> {
    let outbound = Arc::new(UdpSocket::bind((route.address.ip(), 0)).await?);
    outbound.connect(route.target).await?;
    let (route, listening, replies) = (
        Arc::clone(route),
        Arc::clone(listening),
        Arc::clone(&outbound),
    );
    let mut random = route.random(u64::from(sender.port()), Direction::Down);
    actix_rt::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(length) = replies.recv(&mut buffer).await else {
                continue;
            };
            let bytes = Bytes::copy_from_slice(&buffer[..length]);
            forward(
                &route,
                Direction::Down,
                &mut random,
                &listening,
                Some(sender),
                &bytes,
            );
        }
    });
    Ok(outbound)
}

/// Forwards a datagram subject to the current faults.
fn forward(
    route: &Route,
    direction: Direction,
    random: &mut StdRng,
    socket: &Arc<UdpSocket>,
    receiver: Option<SocketAddr>,
    bytes: &Bytes,
) {
    let link = route.link(direction);
    let is_lost = draw_event(link.loss_per_mille, random);
    let copies = if draw_event(link.duplicate_per_mille, random) {
        2
    } else {
        1
    };
    if link.is_cut || link.is_stalled || is_lost {
        return;
    }
    for _ in 0..copies {
        let mut delay = draw_delay(&link, random);
        if draw_event(link.late_per_mille, random) {
            delay += link.late;
        }
        let (socket, bytes) = (Arc::clone(socket), bytes.clone());
        actix_rt::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            // A datagram that can't be sent counts as lost.
            let _ = match receiver {
                Some(receiver) => socket.send_to(&bytes, receiver).await,
                None => socket.send(&bytes).await,
            };
        });
    }
}
