//! Log lines on their way to standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that may wait to be written. Beyond them lines are dropped and counted: a reader that
/// stands still must not hold up a request.
const MAX_WAITING_LINES: usize = 1_000;
/// How long the end of the process waits for the last lines.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Takes lines without ever waiting.
#[derive(Debug)]
pub(crate) struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    dropped: usize,
}

impl LogPipe {
    /// Starts the thread that writes the lines.
    pub(crate) fn start() -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        thread::spawn(move || write_lines(&waiting));
        Self { lines, dropped: 0 }
    }

    /// Gives the writing thread a moment for what was logged last.
    pub(crate) fn settle() {
        thread::sleep(FLUSH_PAUSE);
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut text = Vec::new();
        if self.dropped > 0 {
            text = format!(
                "{{\"message\":\"log lines dropped\",\"count\":{}}}\n",
                self.dropped
            )
            .into_bytes();
        }
        text.extend_from_slice(line);
        match self.lines.try_send(text) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
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
        // A log that nobody takes is lost; there is nowhere else to say so.
        let _ = out.write_all(&line);
    }
}
