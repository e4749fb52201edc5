//! Accepts callers' connections.

use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use super::caller_io::CallerIo;
use super::session::Session;
use crate::prelude::*;

/// How long the listener pauses after it failed to accept a connection, for example because no file
/// descriptors are left.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Accepts and serves callers until the future is dropped.
pub(crate) async fn accept_callers<P: Platform>(shared: Rc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(Rc::clone(&shared), stream));
            }
            Err(error) => {
                warn!(error:% = error; "failed to accept a caller's connection");
                actix_rt::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve<P: Platform>(shared: Rc<Shared<P>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a caller disconnected while connecting: {error}");
        return;
    }
    let mut session = Session::new(shared, CallerIo::new(stream));
    if let Err(error) = session.serve().await {
        debug!("a session ended: {error}");
    }
}
