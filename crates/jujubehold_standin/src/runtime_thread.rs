//! A thread with its own runtime, which stops when its handle is dropped.

use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// The handle of a thread with its own runtime. Dropping it stops the thread and waits for it.
#[derive(Debug)]
pub struct RuntimeThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts a thread called `name` and runs the future that `work` returns to its end.
    ///
    /// `work` receives a future that completes when the handle is dropped.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
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
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}
