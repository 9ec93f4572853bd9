//! Lines that wait to be written, bounded in bytes.

use std::io;
use std::io::Write as _;
use std::sync;
use std::thread;
use std::time;

/// Bytes that ordinary lines may fill between two writes.
const ORDINARY_BYTES: usize = 48 * 1_024;
/// Bytes that all lines may fill between two writes.
const ALL_BYTES: usize = 96 * 1_024;
/// Time between two writes.
const GATHER: time::Duration = time::Duration::from_millis(250);
/// Stack of the thread that writes, in bytes.
const STACK_BYTES: usize = 64 * 1_024;

/// Lines that wait to be written, bounded in bytes.
#[derive(Debug, Default)]
pub(crate) struct Sink {
    held: sync::Mutex<Held>,
    filled: sync::Condvar,
}

#[derive(Debug, Default)]
struct Held {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Sink {
    /// Adds a line, or counts it as dropped.
    pub(crate) fn push(&self, level: log::Level, line: &[u8]) {
        let most = if level <= log::Level::Warn {
            ALL_BYTES
        } else {
            ORDINARY_BYTES
        };
        let mut held = self.lock();
        if held.bytes.len() + line.len() > most {
            held.dropped += 1;
            return;
        }
        held.bytes.extend_from_slice(line);
        drop(held);
        self.filled.notify_one();
    }

    /// Writes what is held to standard output; a reader that is gone loses it.
    pub(crate) fn write_held(&self) {
        let (bytes, dropped) = {
            let mut held = self.lock();
            let dropped = std::mem::take(&mut held.dropped);
            (std::mem::take(&mut held.bytes), dropped)
        };
        let mut out = io::stdout().lock();
        let written = out.write_all(&bytes);
        let counted = if dropped > 0 {
            writeln!(out, "level=WARN event=\"lines dropped\" lines={dropped}")
        } else {
            Ok(())
        };
        let flushed = out.flush();
        // Nobody reads the log any more, so there is nowhere to say so.
        let _unread = written.and(counted).and(flushed);
    }

    fn wait(&self) {
        let held = self.lock();
        let filled = self.filled.wait_while(held, |held| held.bytes.is_empty());
        drop(filled.unwrap_or_else(sync::PoisonError::into_inner));
    }

    fn lock(&self) -> sync::MutexGuard<'_, Held> {
        self.held
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Starts the thread that writes the lines.
pub(crate) fn start(sink: sync::Arc<Sink>) -> io::Result<()> {
    let thread = thread::Builder::new().name("log".to_owned());
    thread.stack_size(STACK_BYTES).spawn(move || {
        loop {
            sink.wait();
            thread::sleep(GATHER);
            sink.write_held();
        }
    })?;
    Ok(())
}
