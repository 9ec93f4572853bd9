//! One client account at several entry hosts: together they stay within its rate and burst.

mod common;

use std::fmt::Write as _;
use std::time;

use skylark_core::secret;

const KEY: &str = "key-of-tight";
const RATE: f64 = 50.0;
const BURST: f64 = 40.0;
const SPAN: time::Duration = time::Duration::from_secs(14);
/// Time from the death of the owner until another must serve.
const GRACE: time::Duration = time::Duration::from_secs(11);
const CALLERS: usize = 3;

/// One request that was answered whole: it was admitted between the two instants.
#[derive(Clone, Copy, Debug)]
struct Served {
    sent: time::Instant,
    done: time::Instant,
}

fn records() -> String {
    let digest = String::from(secret::Secret::new(KEY).digest());
    let mut text = String::new();
    write!(
        text,
        "---\nschema: 1\naccount: {{name: tight, rate: 50/s, burst: 40}}\n\
         ---\nschema: 1\nkey: {{name: tight-1, account: tight, digest: {digest}}}\n"
    )
    .expect("text grows");
    text
}

/// Sends requests to one entry host, one after the other.
async fn call(fleet: &common::Fleet, host: &common::Host, end: time::Instant) -> Vec<Served> {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut served = Vec::new();
    while time::Instant::now() < end {
        let sent = time::Instant::now();
        let reply = fleet.call(host, "GET", "/stock/oars", &headers).await;
        let done = time::Instant::now();
        match reply.map(|reply| reply.status) {
            Some(200) => served.push(Served { sent, done }),
            // The host without a control process cannot know for long whether keys are valid.
            Some(429 | 503) | None => tokio::time::sleep(time::Duration::from_millis(2)).await,
            Some(status) => panic!("status {status}"),
        }
    }
    served
}

/// Returns by how many requests some span of time exceeds the rate and burst.
fn excess(served: &[Served]) -> f64 {
    let mut worst = 0.0_f64;
    for first in served {
        let inside = served.iter().filter(|other| other.sent >= first.sent);
        let mut inside: Vec<time::Instant> = inside.map(|other| other.done).collect();
        inside.sort_unstable();
        for (index, done) in inside.iter().enumerate() {
            let count = f64::from(u32::try_from(index).expect("few requests")) + 1.0;
            let span = done.duration_since(first.sent).as_secs_f64();
            worst = worst.max(count - BURST - RATE * span);
        }
    }
    worst
}

/// Returns the index of the host whose control process owns the budgets.
async fn owner(fleet: &common::Fleet) -> Option<usize> {
    let url = format!("{}/table/row/lease/budgets", fleet.platform);
    let reply = fleet.http.send("GET", &url, Vec::new()).await.ok()?;
    let row: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    let holder = row["value"]["holder"].as_str()?.to_owned();
    let mut hosts = fleet.hosts.iter();
    hosts.position(|host| holder.starts_with(&host.name))
}

async fn call_all(fleet: &common::Fleet, span: time::Duration) -> Vec<Served> {
    let end = time::Instant::now() + span;
    let calls = fleet
        .hosts
        .iter()
        .flat_map(|host| (0..CALLERS).map(move |_caller| call(fleet, host, end)));
    futures::future::join_all(calls).await.concat()
}

#[tokio::test(flavor = "multi_thread")]
async fn three_hosts_stay_within_one_accounts_rate_while_the_owner_dies() {
    let mut fleet = common::Fleet::with_records(&common::ZONES[..3], &records()).await;
    let first = owner(&fleet).await.expect("an owner");
    let before = call_all(&fleet, SPAN / 4).await;
    let steer = &mut fleet.hosts[first].steer;
    steer.kill().expect("the control process is killed");
    steer.wait().expect("the control process has ended");
    let late = time::Instant::now() + GRACE;
    let after = call_all(&fleet, SPAN).await;
    let served = [before, after.clone()].concat();
    let excess = excess(&served);
    assert!(
        excess <= 0.0,
        "{excess} of {} requests too many",
        served.len()
    );
    let next = owner(&fleet).await;
    assert!(
        next.is_some_and(|next| next != first),
        "no other owner: {next:?}"
    );
    let recent = after.iter().filter(|one| one.sent > late).count();
    assert!(recent > 75, "{recent} of 150 requests in the last 3 s");
}
