//! A process with many callers is killed while some of their requests wait for room at the backends,
//! and starts again, some times. Then a few patient callers come.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::io::Write as _;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BACKENDS: u8 = 4;
const SLOTS: usize = 5;
/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(240);
const DEADLINE_MS: u64 = 3_000;
const SECOND_SERVICE: &str = r#"{"name":"desk","healthPath":"/health","maxConnections":330,
    "protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":15.0}"#;
const ADDED_ROUTE: &str = r#"{"name":"extra","prefix":"/extra/","type":"safe","timeoutS":4,
    "targetLatencyS":2,"priority":1,"service":"desk","maxAttempts":2,"public":false,
    "sessionAffinity":false,"allowedRegions":[]}"#;
/// `recoveryS`, and a second.
const PAUSE: Duration = Duration::from_secs(16);
/// Callers of the process that is killed, each with one request at a time: a share of 0.3.
const CALLERS: usize = 400;
/// The other callers, and the time between two requests of each.
const OTHERS: usize = 940;
const OTHERS_INTERVAL: Duration = Duration::from_secs(15);
/// Processes of callers, one after the other, and the time after which each is killed.
const ENDS: usize = 8;
const BEFORE_END: Duration = Duration::from_millis(3_500);
/// Time after which the callers stop by themselves.
const BURST: Duration = Duration::from_secs(4);
/// Patient callers' requests after the burst, to each host.
const CALM_REQUESTS: usize = 20;

/// Works on a request; ends the work, and returns false, once its connection is closed.
fn work_on(stream: &std::net::TcpStream, time: Duration) -> bool {
    let began = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut byte = [0];
    while began.elapsed() < time {
        match stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => std::thread::sleep(Duration::from_millis(5)),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    let _ = stream.set_read_timeout(None);
    true
}

/// Sends requests until the burst is over; each caller waits for its answers.
fn send(fronts: &[std::net::SocketAddr]) {
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let fronts = fronts.to_vec();
            std::thread::spawn(move || {
                for count in 0.. {
                    if began.elapsed() > BURST {
                        return;
                    }
                    let id = format!("burst-{n}-{count}");
                    let bytes = kit::request("GET", &format!("/extra/{n}"), &id, DEADLINE_MS, &[]);
                    let limit = Duration::from_millis(DEADLINE_MS);
                    let answer = kit::call(fronts[(n + count) % fronts.len()], &bytes, limit);
                    let pause = answer.ok().and_then(|a| a.header("retry-after")?.parse().ok());
                    std::thread::sleep(Duration::from_secs_f64(f64::min(pause.unwrap_or(0.0), 1.0)));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().expect("caller"));
}

/// Sends the requests of the other callers, who wait for their answers, to the first service.
fn send_patiently(fronts: &[std::net::SocketAddr]) {
    let began = Instant::now();
    let end = BEFORE_END * ENDS as u32;
    let callers: Vec<_> = (0..OTHERS)
        .map(|n| {
            let front = fronts[n % fronts.len()];
            std::thread::spawn(move || {
                std::thread::sleep(OTHERS_INTERVAL.mul_f64(n as f64 / OTHERS as f64));
                for count in 0.. {
                    if began.elapsed() > end {
                        return;
                    }
                    let id = format!("other-{n}-{count}");
                    let bytes = kit::request("GET", &format!("/look/{n}"), &id, DEADLINE_MS, &[]);
                    let _ = kit::call(front, &bytes, Duration::from_millis(DEADLINE_MS));
                    std::thread::sleep(OTHERS_INTERVAL.min(end.saturating_sub(began.elapsed())));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().expect("caller"));
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("others") {
        let fronts: Vec<_> = std::env::args().skip(2).filter_map(|word| word.parse().ok()).collect();
        return send_patiently(&fronts);
    }
    let fronts: Vec<_> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    if !fronts.is_empty() {
        return send(&fronts);
    }
    let record = kit::Record::new();
    let store = kit::Store::start(kit::address(1));
    // The first version, and one that adds a route to a second service.
    let first = kit::configuration(4.0, 2.0);
    let first = first.replace(r#""services":["#, &format!(r#""services":[{SECOND_SERVICE},"#));
    let second = first.replace("0000000a", "0000000b");
    let second = second.replace(r#""paths":["#, &format!(r#""paths":[{ADDED_ROUTE},"#));
    store.put("op", "config", &first);
    for n in 0..2 * BACKENDS {
        let listener = TcpListener::bind((kit::address(10 + n), 0)).expect("backend");
        let id = format!("i-{n}");
        let service = if n < BACKENDS { "ledger" } else { "desk" };
        let address = listener.local_addr().expect("backend");
        kit::register_for(&store, service, &id, address, SLOTS as u32);
        let (record, slots) = (record.clone(), Arc::new((Mutex::new(0), std::sync::Condvar::new())));
        kit::serve(listener, move |stream| {
            let mut reader = kit::Reader::new(stream);
            while let Ok(Some(message)) = reader.message() {
                let request = message.header("request-id").unwrap_or_default().to_owned();
                let mut running = slots.0.lock().unwrap();
                while *running >= SLOTS {
                    running = slots.1.wait(running).unwrap();
                }
                *running += 1;
                drop(running);
                if request.starts_with("calm") {
                    record.add(format!("{id} runs {request}"));
                }
                let is_done = work_on(&reader.stream, WORK);
                *slots.0.lock().unwrap() -= 1;
                slots.1.notify_one();
                if !is_done {
                    return;
                }
                let head = kit::answer_head(&message, "200 OK", "Content-Length: 2\r\n\r\nok");
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
    let ips: Vec<Ipv4Addr> = (20..22).map(kit::address).collect();
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        kit::Host::start(&store, &format!("front-{n}"), *ip, &ips, 6)
    };
    let mut hosts: Vec<kit::Host> = ips.iter().enumerate().map(start).collect();
    if !hosts.iter().all(kit::Host::wait_until_ready) {
        kit::finish(&record, &mut hosts, 2, "could not run: hosts not ready");
    }
    store.put("op", "config", &second);
    record.add("a configuration adds the route /extra/ to the service desk");
    std::thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = hosts.iter().map(kit::Host::front).collect();
    let program = std::env::current_exe().expect("program");
    let words: Vec<String> = fronts.iter().map(ToString::to_string).collect();
    let others = ["others".to_owned()].into_iter().chain(words.clone());
    let mut others = std::process::Command::new(&program).args(others).spawn().expect("callers");
    record.add(format!("a process with {OTHERS} patient callers of the first service begins to send"));
    for n in 0..ENDS {
        let mut process = std::process::Command::new(&program).args(&words).spawn().expect("callers");
        record.add(format!("process {n} with {CALLERS} callers begins to send"));
        std::thread::sleep(BEFORE_END);
        if kit::has_trouble() {
            process.kill().expect("kill");
        }
        let ended = process.wait().expect("callers");
        record.add(format!("process {n} with its callers has ended: {ended}"));
    }
    others.wait().expect("callers");
    std::thread::sleep(PAUSE);
    let ask = |path: &'static str| {
        let callers: Vec<_> = fronts
            .iter()
            .enumerate()
            .map(|(host, front)| {
                let (record, front) = (record.clone(), *front);
                std::thread::spawn(move || {
                    let mut served = 0;
                    for n in 0..CALM_REQUESTS {
                        let id = format!("calm-{host}-{n}-{path}");
                        let target = format!("/{path}/{n}");
                        let bytes = kit::request("GET", &target, &id, DEADLINE_MS, &[]);
                        let answer = kit::call(front, &bytes, Duration::from_millis(DEADLINE_MS));
                        let text = answer.as_ref().map_or_else(Clone::clone, |a| a.first.clone());
                        record.add(format!("caller gets {id} from front-{host}: {text}"));
                        served += usize::from(answer.is_ok_and(|answer| answer.word(1) == "200"));
                        std::thread::sleep(Duration::from_millis(400));
                    }
                    served
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("caller")).collect::<Vec<usize>>()
    };
    let (first, added) = (ask("look"), ask("extra"));
    for host in &hosts {
        let log = host.log();
        let lines = log.lines().filter(|line| line.contains("request=calm") && line.contains("503"));
        lines.take(2).for_each(|line| record.add(format!("{}'s log: {line}", host.name)));
    }
    let text = format!(
        "of {CALM_REQUESTS} requests to each host, {added:?} on the added route and {first:?} on the first were served"
    );
    let (first, added): (usize, usize) = (first.iter().sum(), added.iter().sum());
    if first < CALM_REQUESTS {
        kit::finish(&record, &mut hosts, 2, &format!("could not run: {text}"));
    }
    if added * 4 < first {
        kit::finish(&record, &mut hosts, 1, &format!("broken: CONFIG, {text}"));
    }
    kit::finish(&record, &mut hosts, 0, &format!("held: {text}"));
}
