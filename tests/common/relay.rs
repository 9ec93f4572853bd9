//! A relay of TCP connections that a test can cut.

use std::io;
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
    fn accept(&self, near: &net::TcpStream, target: net::SocketAddr) {
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
        pump(near, &far);
        pump(&far, near);
    }
}

/// Copies one direction in a thread of its own.
fn pump(from: &net::TcpStream, to: &net::TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    thread::spawn(move || {
        let _ended = io::copy(&mut from, &mut to);
        let _closed = from.shutdown(net::Shutdown::Both);
        let _closed = to.shutdown(net::Shutdown::Both);
    });
}
