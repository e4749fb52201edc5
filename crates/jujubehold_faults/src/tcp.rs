//! The listener and the connections of a TCP route.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use crate::direction::Direction;
use crate::route::Route;
use crate::tcp_pump::{End, pump};

/// Accepts connections until the runtime ends.
pub(crate) async fn serve(route: Arc<Route>, listener: TcpListener) {
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        number += 1;
        actix_rt::spawn(serve_connection(Arc::clone(&route), stream, number));
    }
}

async fn serve_connection(route: Arc<Route>, accepted: TcpStream, number: u64) {
    let (is_refusing, resets) = {
        let faults = route.faults.borrow();
        (faults.is_refusing, faults.resets)
    };
    if is_refusing {
        reset(&accepted);
        return;
    }
    tokio::select! {
        () = forward(&route, &accepted, number) => {}
        () = route.wait_until(|faults| faults.resets != resets) => reset(&accepted),
    }
}

async fn forward(route: &Route, accepted: &TcpStream, number: u64) {
    route.wait_until(|faults| !faults.is_half_open).await;
    let Ok(outbound) = TcpStream::connect(route.target).await else {
        reset(accepted);
        return;
    };
    // Without this option, the connection is only slower.
    let _ = accepted.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let up = pump(route, Direction::Up, accepted, &outbound, number);
    let down = pump(route, Direction::Down, &outbound, accepted, number);
    if run_both(up, down).await != End::Closed {
        reset(accepted);
        reset(&outbound);
    }
}

/// Runs both directions until they end.
///
/// A reset in one direction ends the other at once. If one direction only lost its receiver, the
/// other runs to its end first.
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

/// Makes the peer see a reset when the stream is dropped.
fn reset(stream: &TcpStream) {
    // An error means that the connection is already closed.
    let _ = stream.set_zero_linger();
}
