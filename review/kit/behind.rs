//! A caller with a kept connection sends safe requests before earlier ones are answered, while its
//! host is stopped as planned.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(640);
/// Time between two requests of the connection.
const INTERVAL: Duration = Duration::from_millis(150);
/// Requests of the connection at most.
const REQUESTS: usize = 24;
/// Requests before the SIGTERM.
const BEFORE_STOP: usize = 8;
const DEADLINE_MS: u64 = 3_000;
/// `lossSlackS`: what was sent so shortly before the end of its connection may have crossed it.
const LOSS_SLACK_S: f64 = 0.2;

fn main() {
    let record = kit::Record::new();
    let store = kit::Store::start(kit::address(1));
    store.put("op", "config", &kit::configuration(4.0, 1.0));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for n in 0..3 {
        let listener = TcpListener::bind((kit::address(10 + n), 0)).expect("backend");
        let id = format!("i-{n}");
        kit::register(&store, &id, listener.local_addr().expect("backend"), 9);
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        kit::serve(listener, move |stream| {
            let mut reader = kit::Reader::new(stream);
            while let Ok(Some(message)) = reader.message() {
                let request = message.header("request-id").unwrap_or_default().to_owned();
                record.add(format!("{id} runs {request}: {}", message.first));
                runs.lock().unwrap().push(request.clone());
                std::thread::sleep(WORK);
                let head = kit::answer_head(&message, "200 OK", "Content-Length: 2\r\n\r\nok");
                let sent = reader.stream.write_all(head.as_bytes());
                record.add(format!("{id} answers {request}: {sent:?}"));
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
    std::thread::sleep(Duration::from_secs(5));

    let mut stream = TcpStream::connect(hosts[0].front()).expect("connect");
    stream.set_nodelay(true).expect("no delay");
    let reading = stream.try_clone().expect("connection");
    reading.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let ended: Arc<Mutex<Option<Instant>>> = Arc::default();
    let reader = {
        let (record, answers, ended) = (record.clone(), Arc::clone(&answers), Arc::clone(&ended));
        std::thread::spawn(move || {
            let mut reader = kit::Reader::new(reading);
            loop {
                match reader.message() {
                    Ok(Some(answer)) => {
                        let id = answer.header("request-id").unwrap_or_default().to_owned();
                        let closing = answer.header("connection").unwrap_or("-");
                        record.add(format!("caller gets {id}: {}, connection: {closing}", answer.first));
                        answers.lock().unwrap().insert(id, answer.word(1).to_owned());
                    }
                    end => {
                        let end = end.map(|_| "closed");
                        record.add(format!("the connection ends: {end:?}"));
                        *ended.lock().unwrap() = Some(Instant::now());
                        return;
                    }
                }
            }
        })
    };
    let mut sent = Vec::new();
    for n in 0..REQUESTS {
        if n == BEFORE_STOP && kit::has_trouble() {
            hosts[0].signal(kit::SIGTERM);
            record.add("SIGTERM to front-0");
        }
        // Callers stop using a connection whose host says that it closes it.
        if ended.lock().unwrap().is_some() {
            break;
        }
        let id = format!("get-{n}");
        let bytes = kit::request("GET", &format!("/look/{n}"), &id, DEADLINE_MS, &[]);
        if stream.write_all(&bytes).is_err() {
            record.add(format!("{id} could not be sent"));
            break;
        }
        record.add(format!("caller sends {id}"));
        sent.push((id, Instant::now()));
        std::thread::sleep(INTERVAL);
    }
    if !kit::has_trouble() {
        std::thread::sleep(Duration::from_secs(4));
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    reader.join().expect("reader");
    let ended = ended.lock().unwrap().expect("end");
    let answers = answers.lock().unwrap();
    let mut broken = Vec::new();
    for (id, at) in &sent {
        let before_end = ended.saturating_duration_since(*at).as_secs_f64();
        if !answers.contains_key(id) && before_end > LOSS_SLACK_S {
            broken.push(format!("{id} ({before_end:.2} s before the end)"));
        }
    }
    if answers.values().filter(|status| *status == "200").count() < BEFORE_STOP / 2 {
        kit::finish(&record, &mut hosts, 2, "could not run: too few answers");
    }
    if broken.is_empty() {
        kit::finish(&record, &mut hosts, 0, "held: each request was answered, or crossed the close");
    }
    let text = format!("broken: LOST, no answer to {}", broken.join(", "));
    kit::finish(&record, &mut hosts, 1, &text);
}
