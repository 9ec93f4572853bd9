//! A safe request crashes each backend that begins to run it, and comes again, with the same path,
//! caller and body, in a quiet hour with three orders in two seconds.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Backends of the service.
const BACKENDS: u8 = 12;
/// Time for which a backend is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time between two orders of the other callers, and the time that a backend works on one.
const OTHERS_INTERVAL: Duration = Duration::from_millis(700);
const WORK: Duration = Duration::from_millis(1_200);
/// Time between two attempts at the request that crashes backends.
const POISON_INTERVAL: Duration = Duration::from_secs(6);
const POISONS: usize = 12;
/// `contactS` of the settings.
const CONTACT_S: f64 = 4.0;
/// Retries that may still reach backends.
const ALLOWED: usize = 3;

#[derive(Clone)]
struct Backend {
    store: kit::Store,
    record: kit::Record,
    address: SocketAddr,
    number: u8,
    life: Arc<AtomicU64>,
    crashes: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Backend {
    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.life.load(Ordering::Relaxed))
    }

    /// Starts an incarnation, with a new id; its end closes the listener and all connections.
    fn start(&self) {
        self.life.fetch_add(1, Ordering::Relaxed);
        let id = self.id();
        let listener = TcpListener::bind(self.address).expect("backend");
        listener.set_nonblocking(true).expect("backend");
        kit::register(&self.store, &id, self.address, 5);
        let backend = self.clone();
        std::thread::spawn(move || {
            let is_down = Arc::new(AtomicBool::new(false));
            let streams: Arc<Mutex<Vec<std::net::TcpStream>>> = Arc::default();
            while !is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("backend");
                        streams.lock().unwrap().push(stream.try_clone().expect("backend"));
                        let (backend, is_down) = (backend.clone(), Arc::clone(&is_down));
                        let id = id.clone();
                        std::thread::spawn(move || backend.connection(&id, stream, &is_down));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            for stream in streams.lock().unwrap().iter() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            std::thread::sleep(DOWN);
            // Its entry is gone after three silent heartbeats; the next start has another id.
            backend.store.remove("servers", &id);
            backend.start();
        });
    }

    fn connection(&self, id: &str, stream: std::net::TcpStream, is_down: &AtomicBool) {
        let mut reader = kit::Reader::new(stream);
        while let Ok(Some(message)) = reader.message() {
            let request = message.header("request-id").unwrap_or_default().to_owned();
            if message.header("expect-instance").is_some_and(|expected| expected != id) {
                let head = format!(
                    "HTTP/1.1 421 M\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = reader.stream.write_all(head.as_bytes());
                continue;
            }
            if message.word(1) == "/look/poison" {
                self.record.add(format!("{id} begins to run {request} (/look/poison) and crashes"));
                self.crashes.lock().unwrap().push((request, Instant::now()));
                is_down.store(true, Ordering::Relaxed);
                return;
            }
            self.record.add(format!("{id} begins to run {request} ({})", message.word(1)));
            std::thread::sleep(WORK);
            let head = kit::answer_head(&message, "200 OK", "Content-Length: 2\r\n\r\nok");
            let _ = reader.stream.write_all(head.as_bytes());
        }
    }
}

fn main() {
    let record = kit::Record::new();
    let store = kit::Store::start(kit::address(1));
    store.put("op", "config", &kit::configuration(4.0, 1.0));
    let crashes: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    for number in 0..BACKENDS {
        let address = (kit::address(100 + number), 8_080).into();
        let backend = Backend {
            store: store.clone(),
            record: record.clone(),
            address,
            number,
            life: Arc::default(),
            crashes: Arc::clone(&crashes),
        };
        backend.start();
    }
    let ips: Vec<Ipv4Addr> = (20..23).map(kit::address).collect();
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        kit::Host::start(&store, &format!("front-{n}"), *ip, &ips, 6)
    };
    let mut hosts: Vec<kit::Host> = ips.iter().enumerate().map(start).collect();
    if !hosts.iter().all(kit::Host::wait_until_ready) {
        kit::finish(&record, &mut hosts, 2, "could not run: hosts not ready");
    }
    std::thread::sleep(Duration::from_secs(5));

    let fronts: Vec<SocketAddr> = hosts.iter().map(kit::Host::front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let others = {
        let (record, fronts, is_over) = (record.clone(), fronts.clone(), Arc::clone(&is_over));
        let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
        std::thread::spawn(move || {
            for n in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (record, front) = (record.clone(), fronts[n % fronts.len()]);
                let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
                std::thread::spawn(move || {
                    let id = format!("order-{n}");
                    let bytes = kit::request("POST", &format!("/order/{n}"), &id, 3_000, b"1 paddle");
                    let answer = kit::call(front, &bytes, Duration::from_secs(4));
                    let text = answer.as_ref().map_or_else(Clone::clone, |a| a.first.clone());
                    record.add(format!("caller gets {id}: {text}"));
                    match answer.as_ref().map(|answer| answer.word(1)) {
                        Ok("200") => served.fetch_add(1, Ordering::Relaxed),
                        Ok("502") => lost.fetch_add(1, Ordering::Relaxed),
                        _ => 0,
                    };
                });
                std::thread::sleep(OTHERS_INTERVAL);
            }
        })
    };
    for n in 0..POISONS {
        let id = format!("poison-{n}");
        let path = if kit::has_trouble() { "/look/poison" } else { "/look/sound" };
        let front = n % fronts.len();
        record.add(format!("caller sends {id} to front-{front}: GET {path}"));
        let bytes = kit::request("GET", path, &id, 3_000, &[]);
        let answer = kit::call(fronts[front], &bytes, Duration::from_secs(4));
        let text = answer.map_or_else(|error| error, |answer| answer.first);
        record.add(format!("caller gets {id}: {text}"));
        std::thread::sleep(POISON_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    others.join().expect("others");
    std::thread::sleep(Duration::from_secs(4));
    if served.load(Ordering::Relaxed) < 20 {
        kit::finish(&record, &mut hosts, 2, "could not run: too few other requests were served");
    }
    let crashes = crashes.lock().unwrap();
    let Some((_, third)) = crashes.get(2) else {
        let text = format!("held: {} crashes", crashes.len());
        kit::finish(&record, &mut hosts, 0, &text);
    };
    let is_late = |at: &Instant| at.saturating_duration_since(*third).as_secs_f64() > CONTACT_S;
    let mut late: Vec<&str> = crashes.iter().filter(|(_, at)| is_late(at)).map(|(id, _)| id.as_str()).collect();
    let arrivals = late.len();
    late.dedup();
    let text = format!(
        "{} crashes; later than {CONTACT_S} s after the third, {} requests reached backends {arrivals} times; {} orders \
         were cut off at work and answered 502",
        crashes.len(),
        late.len(),
        lost.load(Ordering::Relaxed)
    );
    if late.len() > ALLOWED {
        kit::finish(&record, &mut hosts, 1, &format!("broken: BUDGET: {text}"));
    }
    kit::finish(&record, &mut hosts, 0, &format!("held: {text}"));
}
