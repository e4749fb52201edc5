//! Writes log lines to standard output on a separate thread.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// The largest number of queued lines. Lines beyond it are dropped and counted, so that a stalled
/// reader of the log does not delay requests.
const MAX_QUEUED_LINES: usize = 1_000;
/// How long the process waits before it exits, so that the last lines are written.
const FLUSH_WAIT: Duration = Duration::from_millis(20);

/// A writer that queues log lines for a thread and never blocks.
#[derive(Debug)]
pub(crate) struct LogPipe {
    queue: SyncSender<Vec<u8>>,
    dropped_lines: usize,
}

impl LogPipe {
    /// Starts the thread that writes the lines.
    pub(crate) fn start() -> Self {
        let (queue, queued_lines) = sync_channel(MAX_QUEUED_LINES);
        thread::spawn(move || write_lines(&queued_lines));
        Self {
            queue,
            dropped_lines: 0,
        }
    }

    /// Blocks briefly so that the writing thread can write the last lines.
    pub(crate) fn wait_for_flush() {
        thread::sleep(FLUSH_WAIT);
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut text = Vec::new();
        if self.dropped_lines > 0 {
            text = format!(
                "{{\"message\":\"log lines dropped\",\"count\":{}}}\n",
                self.dropped_lines
            )
            .into_bytes();
        }
        text.extend_from_slice(line);
        match self.queue.try_send(text) {
            Ok(()) => self.dropped_lines = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped_lines += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        // Standard output may be closed; there is nowhere else to report that.
        let _ = out.write_all(&line);
    }
}
