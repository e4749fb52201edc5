//! A thread with a runtime of its own, which ends with its handle.

use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// Runs one part of an installation until it is dropped.
#[derive(Debug)]
pub struct RuntimeThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts a thread called `name` that runs what `work` gives until that ends.
    ///
    /// `work` gets a future that is done when the handle is dropped.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn spawn<F>(
        name: String,
        work: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = ()> + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(move || actix_rt::System::new().block_on(work(stopped)))?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed already.
            let _ = thread.join();
        }
    }
}
