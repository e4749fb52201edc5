//! Takes callers' connections.

use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use super::caller_io::CallerIo;
use super::session::Session;
use crate::prelude::*;

/// How long the listener rests after a connection could not be taken, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves every caller that connects, until the future is dropped.
pub(crate) async fn accept_callers<P: Platform>(shared: Rc<Shared<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(Rc::clone(&shared), stream));
            }
            Err(error) => {
                warn!(error:% = error; "a caller's connection could not be taken");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<P: Platform>(shared: Rc<Shared<P>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a caller left while it connected: {error}");
        return;
    }
    let mut session = Session::new(shared, CallerIo::new(stream));
    if let Err(error) = session.serve().await {
        debug!("a session ended: {error}");
    }
}
