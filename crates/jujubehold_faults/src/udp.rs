//! A UDP route: one socket towards the target for each sender.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::direction::Direction;
use crate::route::{Route, draw_delay, draw_share};

/// The longest datagram that is passed on, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Passes datagrams on until the runtime ends.
pub(crate) async fn serve(route: Arc<Route>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut senders: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut random = route.random(0, Direction::Up);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // An error tells of an earlier datagram that a peer refused.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let far = match senders.entry(sender) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => match open(&route, &socket, sender).await {
                Ok(far) => new.insert(far),
                Err(_) => continue,
            },
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        pass_on(&route, Direction::Up, &mut random, far, None, &bytes);
    }
}

/// Opens a socket towards the target, whose answers go back to `sender`.
async fn open(
    route: &Arc<Route>,
    near: &Arc<UdpSocket>,
    sender: SocketAddr,
) -> std::io::Result<Arc<UdpSocket>> {
    let far = Arc::new(UdpSocket::bind((route.address.ip(), 0)).await?);
    far.connect(route.target).await?;
    let (route, near, answers) = (Arc::clone(route), Arc::clone(near), Arc::clone(&far));
    let mut random = route.random(u64::from(sender.port()), Direction::Down);
    actix_rt::spawn(async move {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok(length) = answers.recv(&mut buffer).await else {
                continue;
            };
            let bytes = Bytes::copy_from_slice(&buffer[..length]);
            pass_on(
                &route,
                Direction::Down,
                &mut random,
                &near,
                Some(sender),
                &bytes,
            );
        }
    });
    Ok(far)
}

/// Sends a datagram on its way, by the faults in force.
fn pass_on(
    route: &Route,
    direction: Direction,
    random: &mut StdRng,
    socket: &Arc<UdpSocket>,
    receiver: Option<SocketAddr>,
    bytes: &Bytes,
) {
    let link = route.link(direction);
    let is_lost = draw_share(link.loss_per_mille, random);
    let copies = if draw_share(link.duplicate_per_mille, random) {
        2
    } else {
        1
    };
    if link.is_cut || link.is_stalled || is_lost {
        return;
    }
    for _ in 0..copies {
        let mut delay = draw_delay(&link, random);
        if draw_share(link.late_per_mille, random) {
            delay += link.late;
        }
        let (socket, bytes) = (Arc::clone(socket), bytes.clone());
        actix_rt::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            // A datagram that can't be sent is one more that is lost.
            let _ = match receiver {
                Some(receiver) => socket.send_to(&bytes, receiver).await,
                None => socket.send(&bytes).await,
            };
        });
    }
}
