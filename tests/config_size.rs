//! Measures the cost of control processes and the delay of changes by fleet size.
//!
//! Run with `cargo test --release --test config_size -- --ignored --nocapture`.

mod common;

use std::fs;
use std::process;
use std::time;

const SIZES: [usize; 4] = [4, 8, 16, 32];
const WARM_UP: time::Duration = time::Duration::from_secs(3);
const MEASURE_TIME: time::Duration = time::Duration::from_secs(10);
const CHANGES: usize = 20;
const TICKS_PER_SECOND: f64 = 100.0;

fn zones(size: usize) -> Vec<&'static str> {
    let zones = common::ZONES.iter().cycle();
    zones.take(size).copied().collect()
}

/// Returns the processor time that a process has used, in clock ticks.
fn ticks(child: &process::Child) -> f64 {
    let stat =
        fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("the process exists");
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    [11, 12]
        .iter()
        .map(|field| fields[*field].parse::<f64>().expect("ticks"))
        .sum()
}

/// Returns the resident memory of a process in kB.
fn memory(child: &process::Child) -> u32 {
    let status =
        fs::read_to_string(format!("/proc/{}/status", child.id())).expect("the process exists");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("VmRSS is present");
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse().ok())
        .expect("VmRSS is a number")
}

/// Returns the numbers of reads and writes at the platform so far.
async fn counts(fleet: &common::Fleet) -> (f64, f64) {
    let url = format!("{}/counts", fleet.platform);
    let reply = fleet
        .http
        .send("GET", &url, Vec::new())
        .await
        .expect("the platform answers");
    let counts: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    let get = |name: &str| counts[name].as_f64().expect("a number");
    (get("reads"), get("writes"))
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, not a check"]
async fn cost_of_control_by_fleet_size() {
    println!(
        "hosts reads/s writes/s peer-B/s/host platform-B/s/host cpu-ms/s/host max-cpu-ms/s rss-MB"
    );
    for size in SIZES {
        let fleet = common::Fleet::start(&zones(size)).await;
        tokio::time::sleep(WARM_UP).await;
        let before = counts(&fleet).await;
        let bytes = (fleet.peer_bytes(), fleet.platform_bytes());
        let cpu: Vec<f64> = fleet.hosts.iter().map(|host| ticks(&host.steer)).collect();
        tokio::time::sleep(MEASURE_TIME).await;
        let after = counts(&fleet).await;
        let seconds = MEASURE_TIME.as_secs_f64();
        let used = fleet
            .hosts
            .iter()
            .zip(&cpu)
            .map(|(host, cpu)| ticks(&host.steer) - cpu);
        let used: Vec<f64> = used
            .map(|ticks| ticks / TICKS_PER_SECOND * 1_000.0 / seconds)
            .collect();
        let hosts = f64::from(u32::try_from(size).expect("the number fits"));
        let per_host = |bytes: u64| {
            f64::from(u32::try_from(bytes).expect("the number fits")) / seconds / hosts
        };
        let memory = fleet.hosts.iter().map(|host| memory(&host.steer)).max();
        let memory = memory.expect("the fleet has hosts");
        println!(
            "{size} {:.1} {:.1} {:.0} {:.0} {:.2} {:.2} {:.1}",
            (after.0 - before.0) / seconds,
            (after.1 - before.1) / seconds,
            per_host(fleet.peer_bytes() - bytes.0),
            per_host(fleet.platform_bytes() - bytes.1),
            used.iter().sum::<f64>() / hosts,
            used.iter().copied().fold(0.0, f64::max),
            f64::from(memory) / 1_024.0
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, not a check"]
async fn time_until_a_change_is_in_force_everywhere() {
    println!("hosts median-ms max-ms rounds (from the accepted commit to the last entry process)");
    for size in SIZES {
        let fleet = common::Fleet::start(&zones(size)).await;
        tokio::time::sleep(WARM_UP).await;
        let mut delays = Vec::new();
        for round in 0..CHANGES {
            let path = format!("/round-{round}");
            fleet.apply_without_wait(&service_with_path(&path));
            let accepted = time::Instant::now();
            for host in &fleet.hosts {
                while fleet
                    .call(host, "GET", &path, &[])
                    .await
                    .is_none_or(|reply| reply.status != 200)
                {
                    tokio::time::sleep(time::Duration::from_millis(2)).await;
                }
            }
            delays.push(accepted.elapsed().as_millis());
        }
        delays.sort_unstable();
        println!(
            "{size} {} {} {CHANGES}",
            delays[CHANGES / 2],
            delays[CHANGES - 1]
        );
    }
}

/// Returns a service record with an additional open path.
fn service_with_path(path: &str) -> String {
    format!(
        "schema: 1
service:
  name: stock
  routes:
    - {{methods: [GET], path: /stock, access: keyed, idempotent: true}}
    - {{methods: [GET], path: {path}, access: open, idempotent: true}}
  deadline: 2s
  queue: 64
  objective: {{good: 99.9%, within: 250ms}}
"
    )
}
