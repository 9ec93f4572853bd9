//! Callers on links of half a Mbit/s read long answers while the hosts are stopped in turn, as planned.

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Bytes that a caller's link carries in a second.
const LINK_BYTES_PER_S: usize = 64 * 1_024;
/// Receive window of a caller.
const WINDOW_BYTES: i32 = 4 * 1_024;
/// Time from the request to the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(200);
/// Time from the SIGTERM to the moment at which the host has handed the last bytes of the answer to
/// its kernel: after the shortest drain (4.5 s), and before the last sixth of the grace period.
const HANDED_OVER_AFTER_S: f64 = 4.8;
/// Callers that read at the same time, and the difference of their answers in bytes.
const CALLERS: usize = 40;
const SIZE_STEP: usize = 1_024;
const GRACE_S: u32 = 6;
const DEADLINE_MS: u64 = 14_000;

struct Transfer {
    status: String,
    body: usize,
    /// Bytes of the body that had arrived at the time of the signal.
    at_signal: usize,
    took_s: f64,
}

/// Reads an answer of `size` bytes at the pace of the link; calls `signal` at its time.
fn transfer(
    record: &kit::Record,
    front: SocketAddr,
    id: &str,
    size: usize,
    signal_after: Duration,
    signal: impl FnOnce(),
) -> Transfer {
    let mut stream = kit::connect_narrow(front, WINDOW_BYTES).expect("connect");
    let path = format!("/look/list/{size}");
    stream.write_all(&kit::request("GET", &path, id, DEADLINE_MS, &[])).expect("send");
    record.add(format!("caller sends {id} to {front}: GET {path}, Deadline-Ms {DEADLINE_MS}"));
    let began = Instant::now();
    let mut signal = Some(signal);
    let mut at_signal = 0;
    let mut head = Vec::new();
    let mut body = 0;
    let mut is_head = true;
    let mut buffer = vec![0; 2 * 1_024];
    let error = loop {
        if began.elapsed() >= signal_after {
            if let Some(signal) = signal.take() {
                signal();
                at_signal = body;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(count) if is_head => {
                head.extend_from_slice(&buffer[..count]);
                if let Some(end) = head.windows(4).position(|part| part == b"\r\n\r\n") {
                    body = head.len() - end - 4;
                    is_head = false;
                }
            }
            Ok(count) => body += count,
            Err(error) => break Some(error),
        }
        if body >= size {
            break None;
        }
        let due = Duration::from_secs_f64(body as f64 / LINK_BYTES_PER_S as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    };
    let took_s = began.elapsed().as_secs_f64();
    let status = String::from_utf8_lossy(head.get(9..12).unwrap_or_default()).into_owned();
    record.add(format!(
        "caller has {body} of {size} bytes of {id} (status {status}) after {took_s:.3} s; error: {error:?}"
    ));
    Transfer { status, body, at_signal, took_s }
}

fn main() {
    let record = kit::Record::new();
    let store = kit::Store::start(kit::address(1));
    store.put("op", "config", &kit::configuration(15.0, 1.5));
    for n in 0..2 {
        let listener = TcpListener::bind((kit::address(10 + n), 0)).expect("backend");
        let id = format!("i-{n}");
        kit::register(&store, &id, listener.local_addr().expect("backend"), 60);
        let record = record.clone();
        kit::serve(listener, move |stream| {
            let mut reader = kit::Reader::new(stream);
            while let Ok(Some(message)) = reader.message() {
                let request = message.header("request-id").unwrap_or_default().to_owned();
                record.add(format!("{id} runs {request}: {}", message.first));
                let size = message.word(1).rsplit('/').next().and_then(|text| text.parse().ok());
                let size = size.unwrap_or(0);
                let head = kit::answer_head(&message, "200 OK", &format!("Content-Length: {size}\r\n\r\n"));
                let sent = reader.stream.write_all(head.as_bytes());
                let sent = sent.and_then(|()| reader.stream.write_all(&vec![b'x'; size]));
                record.add(format!("{id} has sent its whole answer to {request}: {sent:?}"));
            }
        });
    }
    let ips: Vec<Ipv4Addr> = (20..23).map(kit::address).collect();
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        kit::Host::start(&store, &format!("front-{n}"), *ip, &ips, GRACE_S)
    };
    let mut hosts: Vec<kit::Host> = ips.iter().enumerate().map(start).collect();
    if !hosts.iter().all(kit::Host::wait_until_ready) {
        kit::finish(&record, &mut hosts, 2, "could not run: hosts not ready");
    }

    // How much of an answer this machine's kernel holds: what still arrives of one that is under
    // way when a host of its own is killed. It only sizes the answers below.
    let mut probe = hosts.pop().expect("host");
    let size = 16 * 1_024 * 1_024;
    let measured = transfer(&record, probe.front(), "probe", size, Duration::from_secs(3), || {
        probe.signal(kit::SIGKILL);
        record.add("SIGKILL to front-2, which only serves to size the answers");
    });
    let held = measured.body - measured.at_signal;
    record.add(format!("the kernel holds {held} bytes of an answer"));
    while !probe.has_ended() {
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(probe);
    // The others no longer name it, and its end is more than `contactS` ago.
    std::thread::sleep(Duration::from_secs(5));

    // All answers leave the host's own buffers at about the same time. They differ a little in size,
    // as which bytes the kernel takes last depends on that.
    let since_request = SIGNAL_AFTER.as_secs_f64() + HANDED_OVER_AFTER_S;
    let base = held + (since_request * LINK_BYTES_PER_S as f64) as usize;
    let host = &hosts[0];
    let front = host.front();
    let spread = (CALLERS * SIZE_STEP) as f64 / LINK_BYTES_PER_S as f64;
    let spread = Duration::from_secs_f64(spread);
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let record = record.clone();
            let size = base + n * SIZE_STEP;
            // The larger ones begin earlier, so that all end together.
            let later = (CALLERS - 1 - n) * SIZE_STEP;
            let wait = Duration::from_secs_f64(later as f64 / LINK_BYTES_PER_S as f64);
            let run = move || {
                std::thread::sleep(wait);
                let none = Duration::from_secs(60);
                (size, transfer(&record, front, &format!("list-{n}"), size, none, || {}))
            };
            std::thread::spawn(run)
        })
        .collect();
    std::thread::sleep(SIGNAL_AFTER + spread);
    if kit::has_trouble() {
        host.signal(kit::SIGTERM);
        record.add("SIGTERM to front-0");
    }
    let mut broken = Vec::new();
    for (n, caller) in callers.into_iter().enumerate() {
        let (size, arrived) = caller.join().expect("caller");
        if arrived.status != "200" {
            let text = format!("could not run: status {:?}", arrived.status);
            kit::finish(&record, &mut hosts, 2, &text);
        }
        if arrived.body < size && arrived.took_s * 1_000.0 < DEADLINE_MS as f64 {
            broken.push(format!("list-{n} lacks {} of {size} bytes", size - arrived.body));
        }
    }
    if kit::has_trouble() {
        let began = Instant::now();
        while !hosts[0].has_ended() && began.elapsed().as_secs() < 8 {
            std::thread::sleep(Duration::from_millis(10));
        }
        let log = hosts[0].log();
        let ends: Vec<&str> = log.lines().filter(|line| line.contains("drain")).collect();
        ends.iter().for_each(|line| record.add(format!("front-0's log: {line}")));
        // An answer that the grace period is too short for is no fault.
        if !ends.iter().any(|line| line.contains("drain ended") && line.contains("busy=0 ")) {
            kit::finish(&record, &mut hosts, 2, "could not run: answers outlast the grace period");
        }
    }
    if broken.is_empty() {
        kit::finish(&record, &mut hosts, 0, "held: all answers arrived whole");
    }
    let text = format!("broken: LOST, {} of {CALLERS} answers: {}", broken.len(), broken.join("; "));
    kit::finish(&record, &mut hosts, 1, &text);
}
