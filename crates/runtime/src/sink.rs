//! Bounded buffer of log lines, written to standard output by a thread of its own.
//!
//! A slow reader of the log doesn't block the process. When the buffer fills up, lines of
//! ordinary requests are dropped first, then those of failed requests.

use std::io;
use std::io::Write as _;
use std::sync;
use std::thread;
use std::time;

/// Buffer size up to which lines of ordinary requests are accepted.
const MAX_REQUEST_BYTES: usize = 48 * 1_024;
/// Buffer size up to which lines of failed requests are accepted.
const MAX_FAILED_REQUEST_BYTES: usize = 72 * 1_024;
/// Buffer size up to which all other lines are accepted.
const MAX_BUFFER_BYTES: usize = 96 * 1_024;
/// Time for which lines are gathered before they are written together.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(250);
/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1_024;

/// Class of a log line, which decides how early it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// A request, one of very many lines; dropped first.
    Request,
    /// A request that this host failed; dropped second.
    FailedRequest,
    /// Any other event, such as a state change or an error; dropped last.
    Other,
}

/// A bounded buffer of log lines.
#[derive(Debug, Default)]
pub(crate) struct Sink {
    buffer: sync::Mutex<Buffer>,
    not_empty: sync::Condvar,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Sink {
    /// Appends a line, or counts it as dropped if the buffer is too full for its class.
    pub(crate) fn push(&self, class: Class, line: &[u8]) {
        let max_bytes = match class {
            Class::Request => MAX_REQUEST_BYTES,
            Class::FailedRequest => MAX_FAILED_REQUEST_BYTES,
            Class::Other => MAX_BUFFER_BYTES,
        };
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > max_bytes {
            buffer.dropped += 1;
            return;
        }
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        self.not_empty.notify_one();
    }

    /// Writes the buffer to standard output; what a full pipe doesn't accept stays buffered.
    pub(crate) fn write_buffered(&self) {
        let (mut bytes, dropped) = {
            let mut buffer = self.lock();
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        if dropped > 0 {
            let line = format!("level=WARN event=\"lines dropped\" lines={dropped}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        let unwritten = bytes.split_off(write(&bytes));
        let mut buffer = self.lock();
        let newer = std::mem::replace(&mut buffer.bytes, unwritten);
        buffer.bytes.extend_from_slice(&newer);
    }

    fn wait(&self) {
        let buffer = self.lock();
        let not_empty = self
            .not_empty
            .wait_while(buffer, |buffer| buffer.bytes.is_empty());
        drop(not_empty.unwrap_or_else(sync::PoisonError::into_inner));
    }

    fn lock(&self) -> sync::MutexGuard<'_, Buffer> {
        self.buffer
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Writes to standard output and returns how many bytes were written or given up.
fn write(bytes: &[u8]) -> usize {
    let mut out = io::stdout().lock();
    let mut written = 0;
    while written < bytes.len() {
        match out.write(&bytes[written..]) {
            Ok(0) => return bytes.len(),
            Ok(count) => written += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return written,
            // The log's reader is gone, so the error cannot be reported.
            Err(_error) => return bytes.len(),
        }
    }
    match out.flush() {
        Ok(()) => written,
        Err(_error) => bytes.len(),
    }
}

/// Starts the writer thread.
pub(crate) fn start(sink: sync::Arc<Sink>) -> io::Result<()> {
    let thread = thread::Builder::new().name("log".to_owned());
    thread.stack_size(STACK_BYTES).spawn(move || {
        loop {
            sink.wait();
            thread::sleep(WRITE_DELAY);
            sink.write_buffered();
        }
    })?;
    Ok(())
}
