//! A TCP proxy whose connections a test can cut.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

const BUFFER_BYTES: usize = 16_384;

/// Forwards TCP connections to an address, except while it is cut.
pub struct Relay {
    listen: net::SocketAddr,
    shared: sync::Arc<Shared>,
    acceptor: Option<thread::JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    is_cut: atomic::AtomicBool,
    is_stopped: atomic::AtomicBool,
    bytes: atomic::AtomicU64,
    streams: sync::Mutex<Vec<net::TcpStream>>,
}

impl Relay {
    /// Listens on one address and forwards connections to another.
    pub fn start(listen: net::SocketAddr, target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind(listen).expect("the relay's address is free");
        let shared = sync::Arc::new(Shared::default());
        let accept_shared = sync::Arc::clone(&shared);
        let acceptor = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accept_shared.is_stopped.load(atomic::Ordering::SeqCst) {
                    return;
                }
                accept_shared.accept(&stream, target);
            }
        });
        Self {
            listen,
            shared,
            acceptor: Some(acceptor),
        }
    }

    /// Returns the number of bytes forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Closes every connection, and closes new ones at once until `heal` is called.
    pub fn cut(&self) {
        self.shared.is_cut.store(true, atomic::Ordering::SeqCst);
        for stream in self.shared.streams.lock().expect("not poisoned").drain(..) {
            let _closed = stream.shutdown(net::Shutdown::Both);
        }
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.shared.is_cut.store(false, atomic::Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        self.shared.is_stopped.store(true, atomic::Ordering::SeqCst);
        let _wakes_acceptor = net::TcpStream::connect(self.listen);
        if let Some(acceptor) = self.acceptor.take() {
            let _ended = acceptor.join();
        }
    }
}

impl Shared {
    fn accept(self: &sync::Arc<Self>, inbound: &net::TcpStream, target: net::SocketAddr) {
        let mut streams = self.streams.lock().expect("not poisoned");
        if self.is_cut.load(atomic::Ordering::SeqCst) {
            return;
        }
        let Ok(outbound) = net::TcpStream::connect(target) else {
            return;
        };
        for stream in [inbound, &outbound] {
            let _ignored = stream.set_nodelay(true);
            streams.extend(stream.try_clone());
        }
        self.copy(inbound, &outbound);
        self.copy(&outbound, inbound);
    }

    /// Copies bytes in one direction, in a separate thread.
    fn copy(self: &sync::Arc<Self>, from: &net::TcpStream, to: &net::TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let shared = sync::Arc::clone(self);
        thread::spawn(move || {
            let mut buffer = [0; BUFFER_BYTES];
            while let Ok(count) = from.read(&mut buffer) {
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
                let count = u64::try_from(count).expect("the count fits");
                shared.bytes.fetch_add(count, atomic::Ordering::Relaxed);
            }
            let _closed = from.shutdown(net::Shutdown::Both);
            let _closed = to.shutdown(net::Shutdown::Both);
        });
    }
}
