//! A TCP route: its listener and its connections.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use crate::direction::Direction;
use crate::route::Route;
use crate::tcp_pump::{End, pump};

/// Takes connections until the runtime ends.
pub(crate) async fn serve(route: Arc<Route>, listener: TcpListener) {
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        number += 1;
        actix_rt::spawn(serve_connection(Arc::clone(&route), stream, number));
    }
}

async fn serve_connection(route: Arc<Route>, near: TcpStream, number: u64) {
    let (is_refusing, resets) = {
        let faults = route.faults.borrow();
        (faults.is_refusing, faults.resets)
    };
    if is_refusing {
        reset(&near);
        return;
    }
    tokio::select! {
        () = pass_on(&route, &near, number) => {}
        () = route.until(|faults| faults.resets != resets) => reset(&near),
    }
}

async fn pass_on(route: &Route, near: &TcpStream, number: u64) {
    route.until(|faults| !faults.is_half_open).await;
    let Ok(far) = TcpStream::connect(route.target).await else {
        reset(near);
        return;
    };
    // A connection without the option is only slower.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let up = pump(route, Direction::Up, near, &far, number);
    let down = pump(route, Direction::Down, &far, near, number);
    if run_both(up, down).await != End::Closed {
        reset(near);
        reset(&far);
    }
}

/// Runs both directions to their ends; a reset of one ends the other, unless it only lost its
/// receiver.
async fn run_both(up: impl Future<Output = End>, down: impl Future<Output = End>) -> End {
    tokio::pin!(up, down);
    let (first, is_up) = tokio::select! {
        end = &mut up => (end, true),
        end = &mut down => (end, false),
    };
    if first == End::Reset {
        return End::Reset;
    }
    let second = if is_up { down.await } else { up.await };
    if first == End::Closed {
        second
    } else {
        End::Reset
    }
}

/// Lets the peer see a reset once the stream is dropped.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = stream.set_zero_linger();
}
