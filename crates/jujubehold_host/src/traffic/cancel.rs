//! Cancels the statement that a caller's session runs.
//!
//! Only the host that issued a key knows it; a request that reaches another host is ignored. See
//! docs/notes/callers-side.md.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::pool::CancelTarget;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// How long an upstream may take to accept a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The keys that this host issued.
#[derive(Debug, Default)]
pub struct CancelKeys {
    sessions: Mutex<BTreeMap<i32, KeyEntry>>,
}

#[derive(Debug)]
struct KeyEntry {
    secret: i32,
    running: Arc<RunningStatement>,
}

/// The statement that a session runs, as far as cancel requests are concerned.
#[derive(Debug, Default)]
pub struct RunningStatement {
    state: Mutex<RunningState>,
}

#[derive(Debug, Default)]
struct RunningState {
    target: Option<CancelTarget>,
    is_cancelled: bool,
}

/// A session's key, which becomes invalid when dropped.
#[derive(Debug)]
pub struct SessionKeyData {
    /// The process ID that is sent to the caller.
    pub process_id: i32,
    /// The secret that is sent to the caller.
    pub secret: i32,
    /// The statement that the session runs.
    pub running: Arc<RunningStatement>,
    keys: Arc<CancelKeys>,
}

impl CancelKeys {
    /// Creates a key for a new session.
    pub fn add_session(self: &Arc<Self>) -> SessionKeyData {
        let running = Arc::new(RunningStatement::default());
        let secret = rand::random();
        let mut sessions = lock(&self.sessions);
        let process_id = loop {
            let candidate = rand::random::<i32>() & i32::MAX;
            if candidate != 0 && !sessions.contains_key(&candidate) {
                break candidate;
            }
        };
        let entry = KeyEntry {
            secret,
            running: running.clone(),
        };
        sessions.insert(process_id, entry);
        SessionKeyData {
            process_id,
            secret,
            running,
            keys: self.clone(),
        }
    }

    /// Cancels the running statement of the session with this key; ignores an unknown key.
    pub async fn cancel(&self, process_id: i32, secret_key: &[u8]) {
        let running = lock(&self.sessions)
            .get(&process_id)
            .filter(|entry| entry.secret.to_be_bytes() == secret_key)
            .map(|entry| entry.running.clone());
        let Some(target) = running.and_then(|running| running.take_target()) else {
            return;
        };
        // Cancel requests are not answered, and an upstream that can't be reached runs nothing to
        // cancel.
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, send_cancel(&target)).await;
    }
}

impl RunningStatement {
    /// Records that a statement starts on the connection of `target`.
    pub fn start(&self, target: Option<CancelTarget>) {
        *lock(&self.state) = RunningState {
            target,
            is_cancelled: false,
        };
    }

    /// Records that the statement ended. Returns `false` if a cancel request may still be in
    /// transit, so that the connection must not be reused.
    pub fn end(&self) -> bool {
        let state = std::mem::take(&mut *lock(&self.state));
        !state.is_cancelled
    }

    fn take_target(&self) -> Option<CancelTarget> {
        let mut state = lock(&self.state);
        let target = state.target.clone()?;
        state.is_cancelled = true;
        Some(target)
    }
}

impl Drop for SessionKeyData {
    fn drop(&mut self) {
        lock(&self.keys.sessions).remove(&self.process_id);
    }
}

async fn send_cancel(target: &CancelTarget) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(target.address).await?;
    stream.write_all(&cancel_request(&target.key)).await?;
    // The upstream closes the connection once it has received the request.
    let _ = stream.read(&mut [0]).await?;
    Ok(())
}

fn cancel_request(key: &Bytes) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(8 + key.len()).unwrap_or(u32::MAX));
    bytes.put_u32(CANCEL_REQUEST_CODE);
    bytes.put_slice(key);
    bytes.freeze()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
