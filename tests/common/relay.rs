//! A relay of TCP connections that a test can cut.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Hands connections on to an address until it is cut.
pub struct Relay {
    listen: net::SocketAddr,
    shared: sync::Arc<Shared>,
    accepting: Option<thread::JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    is_cut: atomic::AtomicBool,
    has_ended: atomic::AtomicBool,
    bytes: atomic::AtomicU64,
    streams: sync::Mutex<Vec<net::TcpStream>>,
}

impl Relay {
    /// Listens on one address and hands connections on to another.
    pub fn start(listen: net::SocketAddr, target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind(listen).expect("the relay's address is free");
        let shared = sync::Arc::new(Shared::default());
        let accepting = sync::Arc::clone(&shared);
        let accepting = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(atomic::Ordering::SeqCst) {
                    return;
                }
                accepting.accept(&stream, target);
            }
        });
        Self {
            listen,
            shared,
            accepting: Some(accepting),
        }
    }

    /// Returns the bytes that were handed on, both ways.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Ends every connection and takes no new one.
    pub fn cut(&self) {
        self.shared.is_cut.store(true, atomic::Ordering::SeqCst);
        for stream in self.shared.streams.lock().expect("not poisoned").drain(..) {
            let _closed = stream.shutdown(net::Shutdown::Both);
        }
    }

    /// Takes connections again.
    pub fn heal(&self) {
        self.shared.is_cut.store(false, atomic::Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        self.shared.has_ended.store(true, atomic::Ordering::SeqCst);
        let _woken = net::TcpStream::connect(self.listen);
        if let Some(accepting) = self.accepting.take() {
            let _ended = accepting.join();
        }
    }
}

impl Shared {
    fn accept(self: &sync::Arc<Self>, near: &net::TcpStream, target: net::SocketAddr) {
        let mut streams = self.streams.lock().expect("not poisoned");
        if self.is_cut.load(atomic::Ordering::SeqCst) {
            return;
        }
        let Ok(far) = net::TcpStream::connect(target) else {
            return;
        };
        for stream in [near, &far] {
            let _ignored = stream.set_nodelay(true);
            streams.extend(stream.try_clone());
        }
        self.pump(near, &far);
        self.pump(&far, near);
    }

    /// Copies one direction in a thread of its own.
    fn pump(self: &sync::Arc<Self>, from: &net::TcpStream, to: &net::TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let shared = sync::Arc::clone(self);
        thread::spawn(move || {
            let mut buffer = [0; 16_384];
            while let Ok(count) = from.read(&mut buffer) {
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
                let count = u64::try_from(count).expect("small");
                shared.bytes.fetch_add(count, atomic::Ordering::Relaxed);
            }
            let _closed = from.shutdown(net::Shutdown::Both);
            let _closed = to.shutdown(net::Shutdown::Both);
        });
    }
}
