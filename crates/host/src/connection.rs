//! One caller's connection: its requests run side by side and are answered in their order.

use std::collections;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;

use super::caller_stream;
use super::lookahead;
use super::pipeline;
use super::response;
use super::state;

/// Requests of a connection that run before those in front of them were answered.
const MAX_EARLY_RUNS: usize = 8;

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Connection {
    state: sync::Arc<state::State>,
    stream: caller_stream::CallerStream,
    /// Requests that the HTTP library has handed over.
    served: atomic::AtomicU64,
    early: sync::Mutex<collections::VecDeque<EarlyRun>>,
}

/// A pipelined request that runs while those in front of it are served; cancelled when dropped.
#[derive(Debug)]
struct EarlyRun {
    number: u64,
    task: tokio::task::JoinHandle<response::Response>,
}

impl Drop for EarlyRun {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Serves a connection.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        stream: &caller_stream::CallerStream,
    ) -> Self {
        Self {
            state: sync::Arc::clone(state),
            stream: stream.clone(),
            served: atomic::AtomicU64::new(0),
            early: sync::Mutex::default(),
        }
    }

    /// Serves the next request, and begins those behind it as they arrive.
    ///
    /// # Errors
    ///
    /// Fails when the caller has left, which ends all its requests.
    pub(crate) async fn serve(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> io::Result<response::Response> {
        let number = self.served.fetch_add(1, atomic::Ordering::Relaxed);
        let mut own = pin::pin!(self.run(number, request));
        let mut closed = pin::pin!(self.stream.closed());
        let mut response = loop {
            tokio::select! {
                biased;
                response = &mut own => break response?,
                head = self.stream.next_behind(number), if self.has_room() => self.begin(head),
                () = &mut closed => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        };
        // A close would cut off the requests that already run behind this one.
        if self.state.stopping_since().is_some() && self.lock().is_empty() {
            let close = hyper::header::HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(hyper::header::CONNECTION, close);
        }
        Ok(response)
    }

    async fn run(
        &self,
        number: u64,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> io::Result<response::Response> {
        if let Some(mut early) = self.take(number) {
            return (&mut early.task).await.map_err(io::Error::other);
        }
        let (parts, body) = request.into_parts();
        let state = sync::Arc::clone(&self.state);
        Ok(pipeline::serve(state, parts, Some(body)).await)
    }

    fn has_room(&self) -> bool {
        self.state.stopping_since().is_none() && self.lock().len() < MAX_EARLY_RUNS
    }

    /// Begins a request that may run more than once, as one in front of it may end the connection.
    fn begin(&self, head: lookahead::Head) {
        // The stop may have begun since this request was waited for.
        if !self.has_room() || !pipeline::is_idempotent(&self.state, &head.parts) {
            return;
        }
        let state = sync::Arc::clone(&self.state);
        let task = tokio::spawn(pipeline::serve(state, head.parts, None));
        self.lock().push_back(EarlyRun {
            number: head.number,
            task,
        });
    }

    /// Returns the early run of a request.
    fn take(&self, number: u64) -> Option<EarlyRun> {
        let mut early = self.lock();
        while early.front().is_some_and(|run| run.number < number) {
            early.pop_front();
        }
        early.pop_front_if(|run| run.number == number)
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<EarlyRun>> {
        self.early
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
