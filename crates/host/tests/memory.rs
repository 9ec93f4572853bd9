//! Memory use of a host process with slow callers or targets.

#[expect(dead_code, reason = "shared with the tests of the process")]
mod common;

use std::net;
use std::sync;
use std::time;

use common::host;
use common::store;
use common::target;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Memory limit of a process on the platform.
const MAX_MEMORY_KIB: u64 = 260 * 1_024;
/// Concurrent callers; a host has 4,100 file descriptors.
const CALLERS: usize = 1_500;
/// Bytes of each body that arrive before its caller pauses.
const SENT_BYTES: usize = 250 * 1_024;
/// Concurrent large bodies and their size, well over what is buffered before the first send.
const STREAMS: usize = 100;
const LARGE_BYTES: usize = 8 * 1_024 * 1_024;
/// Number of targets, enough for many long responses at once.
const TARGETS: usize = 4;
/// Receive buffer of a caller that reads slowly, so that the response is buffered at the host.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1_024;
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

async fn slow_caller(address: net::SocketAddr, number: usize) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let head = format!(
        "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: slow-{number}\r\n\
         Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\nContent-Length: 300000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("head");
    stream.write_all(&vec![7; SENT_BYTES]).await.expect("body");
    stream
}

async fn deployment() -> (host::Host, Vec<target::Target>) {
    let store = store::Store::start().await;
    let rules = host::configuration("0000000a", "/look/");
    let rules = rules.replace("\"ratePerS\":500,", "\"ratePerS\":50000,");
    let rules = rules.replace("\"burst\":500,", "\"burst\":50000,");
    store.put("op", "config", &rules);
    let mut targets = Vec::new();
    for n in 0..TARGETS {
        let target = target::Target::start(&format!("i-{n}")).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    (host::Host::start(&store).await, targets)
}

/// Many callers send most of a body and pause.
#[tokio::test]
async fn slow_senders_do_not_fill_the_memory() {
    let (host, _targets) = deployment().await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        callers.push(slow_caller(host.callers, number).await);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = host.peak_kib();
    println!("{peak} KiB at the peak with {CALLERS} callers");
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
}

/// Many bodies are streamed at once to a target that reads late.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_that_stream_at_once_do_not_fill_the_memory() {
    let store = store::Store::start().await;
    let rules = host::configuration("0000000a", "/look/");
    let rules = rules.replace("\"timeoutS\":4", "\"timeoutS\":100");
    store.put("op", "config", &rules);
    let target = target::Target::start("i-0").await;
    target.set_behavior(target::Behavior::ReadLate);
    let entry = serde_json::json!({
        "address": target.address,
        "info": {"service": "ledger", "version": "v1", "zone": "a1", "slots": 2 * STREAMS},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        "born": 1,
    });
    store.put("servers", &target.id, &entry.to_string());
    let host = host::Host::start(&store).await;
    let body = sync::Arc::new((0..LARGE_BYTES).map(|n| n.to_le_bytes()[0]).collect());
    let callers = (0..STREAMS).map(|number| {
        let body = sync::Arc::clone(&body);
        tokio::spawn(large_caller(host.callers, number, body))
    });
    let statuses = futures::future::join_all(callers).await;
    let is_served = |status: &Result<u16, _>| matches!(status, Ok(200));
    let served = statuses.iter().filter(|status| is_served(status)).count();
    let peak = host.peak_kib();
    println!("{peak} KiB at the peak, {served} of {STREAMS} bodies of {LARGE_BYTES}");
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
    let whole = target.bodies().into_iter().filter(|sent| *sent == *body);
    assert_eq!(whole.count(), served);
    assert_eq!(served, STREAMS);
}

/// Sends a large body; returns the status of the response, 0 where there is none.
async fn large_caller(address: net::SocketAddr, number: usize, body: sync::Arc<Vec<u8>>) -> u16 {
    let stream = tokio::net::TcpStream::connect(address).await;
    let (mut reader, mut writer) = stream.expect("connect").into_split();
    let head = format!(
        "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: large-{number}\r\n\
         Deadline-Ms: 100000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\
         Content-Length: {LARGE_BYTES}\r\n\r\n"
    );
    let sent = async {
        writer.write_all(head.as_bytes()).await?;
        writer.write_all(&body).await
    };
    let mut answer = [0; 12];
    let received = reader.read_exact(&mut answer);
    // The host does not read a refused body to its end, so sending it may fail.
    let (_sent, received) = tokio::join!(sent, received);
    match received {
        Ok(_length) => String::from_utf8_lossy(&answer[9..])
            .parse()
            .expect("status"),
        Err(_closed) => 0,
    }
}

/// Many callers ask for long responses and read nothing of them.
#[tokio::test]
async fn slow_readers_do_not_fill_the_memory() {
    let (host, targets) = deployment().await;
    for target in &targets {
        target.set_behavior(target::Behavior::AnswerLong);
    }
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("receive buffer");
        let connecting = socket.connect(host.callers);
        let mut stream = connecting.await.expect("connect");
        let head = format!(
            "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: slow-{number}\r\n\
             Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\n\
             Cookie: Affinity-Key={number}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("head");
        // Each waits for the start of its response, so that the machine's speed does not decide
        // whether a target has room for the next one.
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.expect("a response");
        assert_eq!(&start[9..], b"200", "caller {number}");
        callers.push(stream);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = host.peak_kib();
    let sends: usize = targets.iter().map(|target| target.heads().len()).sum();
    println!(
        "{peak} KiB at the peak, {sends} answers of {}",
        target::LONG_BYTES
    );
    assert_eq!(sends, CALLERS);
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
}
