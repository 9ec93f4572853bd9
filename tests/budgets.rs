//! Several entry hosts together admit no more than the rate and burst of a client account.

mod common;

use std::fmt::Write as _;
use std::time;

use skylark_core::secret;

const KEY: &str = "key-of-tight";
const RATE: f64 = 50.0;
const BURST: f64 = 40.0;
const RUN_TIME: time::Duration = time::Duration::from_secs(14);
/// Time from the kill of the budget owner until another one must admit requests.
const TAKEOVER_LIMIT: time::Duration = time::Duration::from_secs(11);
const CALLERS_PER_HOST: usize = 3;

/// A request with a complete answer; it was admitted between the two instants.
#[derive(Clone, Copy, Debug)]
struct Served {
    sent: time::Instant,
    answered: time::Instant,
}

fn records() -> String {
    let digest = String::from(secret::Secret::new(KEY).digest());
    let mut text = String::new();
    write!(
        text,
        "---\nschema: 1\naccount: {{name: tight, rate: 50/s, burst: 40}}\n\
         ---\nschema: 1\nkey: {{name: tight-1, account: tight, digest: {digest}}}\n"
    )
    .expect("writing to a string succeeds");
    text
}

/// Sends requests to one entry host, one at a time, and returns the admitted ones.
async fn send_until(fleet: &common::Fleet, host: &common::Host, end: time::Instant) -> Vec<Served> {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut served = Vec::new();
    while time::Instant::now() < end {
        let sent = time::Instant::now();
        let reply = fleet.call(host, "GET", "/stock/oars", &headers).await;
        let answered = time::Instant::now();
        match reply.map(|reply| reply.status) {
            Some(200) => served.push(Served { sent, answered }),
            // Without a control process, a host soon refuses keys, as it can no longer check them.
            Some(429 | 503) | None => tokio::time::sleep(time::Duration::from_millis(2)).await,
            Some(status) => panic!("unexpected status {status}"),
        }
    }
    served
}

/// Returns the largest number of requests over rate and burst in any time span, at least 0.
fn excess(served: &[Served]) -> f64 {
    let mut largest = 0.0_f64;
    for first in served {
        let inside = served.iter().filter(|other| other.sent >= first.sent);
        let mut inside: Vec<time::Instant> = inside.map(|other| other.answered).collect();
        inside.sort_unstable();
        for (index, answered) in inside.iter().enumerate() {
            let count = f64::from(u32::try_from(index).expect("few requests")) + 1.0;
            let span = answered.duration_since(first.sent).as_secs_f64();
            largest = largest.max(count - BURST - RATE * span);
        }
    }
    largest
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

/// Sends requests to every entry host for a time span.
async fn send_to_all(fleet: &common::Fleet, span: time::Duration) -> Vec<Served> {
    let end = time::Instant::now() + span;
    let calls = fleet
        .hosts
        .iter()
        .flat_map(|host| (0..CALLERS_PER_HOST).map(move |_caller| send_until(fleet, host, end)));
    futures::future::join_all(calls).await.concat()
}

#[tokio::test(flavor = "multi_thread")]
async fn three_hosts_stay_within_an_accounts_rate_while_the_budget_owner_is_killed() {
    let mut fleet = common::Fleet::with_records(&common::ZONES[..3], &records()).await;
    let killed = owner(&fleet).await.expect("a host owns the budgets");
    let before = send_to_all(&fleet, RUN_TIME / 4).await;
    let steer = &mut fleet.hosts[killed].steer;
    steer.kill().expect("the control process is killed");
    steer.wait().expect("the control process has ended");
    let deadline = time::Instant::now() + TAKEOVER_LIMIT;
    let after = send_to_all(&fleet, RUN_TIME).await;
    let served = [before, after.clone()].concat();
    let excess = excess(&served);
    assert!(
        excess <= 0.0,
        "{excess} of {} requests exceed rate and burst",
        served.len()
    );
    let next = owner(&fleet).await;
    assert!(
        next.is_some_and(|next| next != killed),
        "no other host owns the budgets: {next:?}"
    );
    let recent = after
        .iter()
        .filter(|request| request.sent > deadline)
        .count();
    assert!(recent > 75, "{recent} of 150 requests in the last 3 s");
}
