//! An account with a small limit asks for more than its rate, while some hosts are stopped and
//! started in turn, as planned.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOSTS: u8 = 8;
/// Hosts that are stopped: half of them. For this account, named so, and these hosts, rendezvous
/// hashing makes front-4 the holder, and front-6 and front-7 the next ones in line.
const STOPPED: [usize; 4] = [4, 6, 7, 1];
/// `gap_s` between two stops.
const GAP: Duration = Duration::from_millis(1_300);
/// `ratePerS` and `burst` of the account.
const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
/// `quotaWindowS`, `quotaOverage` and `quotaSlack`.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const CLIENTS: usize = 60;
const CLIENT_INTERVAL: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(24);
const STOP_AFTER: Duration = Duration::from_secs(10);

/// Where a client connects to, as it was told by a directory.
struct Directory {
    fronts: Vec<SocketAddr>,
    until: Instant,
}

/// Asks up to three directories; keeps the last answer if none answers.
fn look_up(ips: &[Ipv4Addr], random: &mut u64, factor: f64, known: &mut Directory) {
    for _ in 0..3 {
        let ip = ips[next(random) as usize % ips.len()];
        let answer = || -> std::io::Result<Option<kit::Message>> {
            let mut stream =
                TcpStream::connect_timeout(&(ip, 8209).into(), Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let path = format!("/api/resolve?name={}&region=r1&zone=z1", kit::HOST_NAME);
            let head = format!("GET {path} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            kit::Reader::new(stream).message()
        };
        let Ok(Some(answer)) = answer() else { continue };
        if answer.word(1) != "200" {
            continue;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let Some((list, rest)) = text.split_once(']') else { continue };
        let fronts: Vec<SocketAddr> =
            list.split('"').filter_map(|part| part.parse().ok()).collect();
        let ttl = rest.split(':').nth(1).and_then(|part| part.trim_end_matches('}').parse().ok());
        let ttl: f64 = ttl.unwrap_or(0.0);
        if !fronts.is_empty() {
            known.fronts = fronts;
            known.until = Instant::now() + Duration::from_secs_f64(ttl * factor);
            return;
        }
    }
}

fn next(random: &mut u64) -> u64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *random >> 33
}

fn main() {
    let record = kit::Record::new();
    let store = kit::Store::start(kit::address(1));
    let limit = format!(r#""ratePerS":{RATE},"burst":{BURST}"#);
    let config = kit::configuration(4.0, 1.0).replace(r#""ratePerS":0,"burst":0"#, &limit);
    store.put("op", "config", &config);
    // When each request was sent, by its number, and when it ran.
    let sent: Arc<Mutex<std::collections::HashMap<String, f64>>> = Arc::default();
    let runs: Arc<Mutex<Vec<(f64, f64)>>> = Arc::default();
    for n in 0..4 {
        let listener = TcpListener::bind((kit::address(10 + n), 0)).expect("backend");
        let id = format!("i-{n}");
        kit::register(&store, &id, listener.local_addr().expect("backend"), 12);
        let (record, runs, sent) = (record.clone(), Arc::clone(&runs), Arc::clone(&sent));
        kit::serve(listener, move |stream| {
            let mut reader = kit::Reader::new(stream);
            while let Ok(Some(message)) = reader.message() {
                let request = message.header("request-id").unwrap_or_default().to_owned();
                let tenant = message.header("tenant-id").unwrap_or("-");
                record.add(format!("{id} runs {request} of {tenant}"));
                let began = record.now();
                let sent_at = sent.lock().unwrap().get(&request).copied();
                runs.lock().unwrap().push((sent_at.unwrap_or(began), began));
                std::thread::sleep(Duration::from_millis(20));
                let head = kit::answer_head(&message, "200 OK", "Content-Length: 2\r\n\r\nok");
                let _ = reader.stream.write_all(head.as_bytes());
            }
        });
    }
    let ips: Vec<Ipv4Addr> = (20..20 + HOSTS).map(kit::address).collect();
    let seeds = &ips[5..8];
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        kit::Host::start(&store, &format!("front-{n}"), *ip, seeds, 6)
    };
    let mut hosts: Vec<kit::Host> = ips.iter().enumerate().map(start).collect();
    if !hosts.iter().all(kit::Host::wait_until_ready) {
        kit::finish(&record, &mut hosts, 2, "could not run: hosts not ready");
    }
    std::thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let served = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (ips, served, is_over) = (ips.clone(), Arc::clone(&served), Arc::clone(&is_over));
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            std::thread::spawn(move || {
                let mut random = 7 + n as u64;
                // Some clients keep an answer three times as long.
                let factor = if n % 3 == 0 { 3.0 } else { 1.0 };
                let mut known = Directory { fronts: Vec::new(), until: Instant::now() };
                std::thread::sleep(CLIENT_INTERVAL.mul_f64(n as f64 / CLIENTS as f64));
                for count in 0.. {
                    let due = CLIENT_INTERVAL * count;
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    if Instant::now() >= known.until {
                        look_up(&ips, &mut random, factor, &mut known);
                    }
                    if known.fronts.is_empty() {
                        std::thread::sleep(CLIENT_INTERVAL);
                        continue;
                    }
                    let front = known.fronts[next(&mut random) as usize % known.fronts.len()];
                    let id = format!("{n}.{count}");
                    let bytes = kit::request("GET", "/look/stock", &id, 1_200, &[]);
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let answer = kit::call(front, &bytes, Duration::from_millis(1_300));
                    let text = answer.as_ref().map_or("no answer", |answer| answer.word(1));
                    record.add(format!("client gets {id} from {}: {text}", front.ip()));
                    served.fetch_add(u64::from(text == "200"), Ordering::Relaxed);
                    std::thread::sleep((due + CLIENT_INTERVAL).saturating_sub(began.elapsed()).min(CLIENT_INTERVAL));
                }
            })
        })
        .collect();
    let mut stopping: Vec<usize> = Vec::new();
    let mut stopped = 0;
    while began.elapsed() < LENGTH {
        let due = STOP_AFTER + GAP * stopped as u32;
        if kit::has_trouble() && stopped < STOPPED.len() && began.elapsed() >= due {
            let n = STOPPED[stopped];
            hosts[n].signal(kit::SIGTERM);
            record.add(format!("SIGTERM to front-{n}"));
            stopping.push(n);
            stopped += 1;
        }
        stopping.retain(|n| {
            let has_ended = hosts[*n].has_ended();
            if has_ended {
                record.add(format!("front-{n} has ended and is started again"));
                hosts[*n].restart();
            }
            !has_ended
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("client"));
    if served.load(Ordering::Relaxed) < 200 {
        kit::finish(&record, &mut hosts, 2, "could not run: too few requests were served");
    }
    let mut runs = runs.lock().unwrap().clone();
    runs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    // Requests both sent and begun in a window that opens when one is sent.
    let count = |from: f64| {
        let is_within = |run: &&(f64, f64)| run.0 >= from && run.1 <= from + WINDOW_S;
        runs.iter().filter(is_within).count()
    };
    let most = runs.iter().map(|run| (count(run.0), run.0)).max_by_key(|(count, _)| *count);
    let (most, from) = most.unwrap_or_default();
    let text = format!("{most} requests from {from:.3} s in {WINDOW_S} s, {allowed:.0} allowed");
    if most as f64 > allowed {
        kit::finish(&record, &mut hosts, 1, &format!("broken: QUOTA, {text}"));
    }
    kit::finish(&record, &mut hosts, 0, &format!("held: {text}"));
}
