//! A question to another host that waits for its answer.

use std::cell::{Cell, RefCell};

use tokio::sync::oneshot;

use super::peer_message::PeerMessage;

/// The outstanding question; there is at most one.
#[derive(Debug, Default)]
pub(crate) struct PeerQuestions {
    last: Cell<u64>,
    waiting: RefCell<Option<(u64, oneshot::Sender<PeerMessage>)>>,
}

impl PeerQuestions {
    /// Delivers an answer to the task that waits for it; late answers are dropped.
    pub(super) fn deliver_answer(&self, answer: &PeerMessage) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some((_, sender)) = waiting.take_if(|(number, _)| *number == answer.question) {
            // The waiting task may have timed out in the meantime.
            let _ = sender.send(answer.clone());
        }
    }

    /// Begins a question. Returns its number and what receives the answer.
    pub(super) fn begin(&self) -> (u64, oneshot::Receiver<PeerMessage>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        *self.waiting.borrow_mut() = Some((number, sender));
        (number, receiver)
    }
}
