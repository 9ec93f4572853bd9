//! Under overlapping faults, orders start at most once and a "not run" outcome is always true.

mod common;

use std::collections;
use std::process;
use std::sync;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_wire::header;

const ORDERS: u32 = 60;
const MAX_ATTEMPTS: u32 = 5;
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// What one caller observed about its order.
#[derive(Debug, Default)]
struct Observed {
    key: String,
    path: String,
    is_denied: bool,
    answers: collections::BTreeSet<Vec<u8>>,
}

/// Sends an order, and retries it through random hosts until it is reported as not run.
async fn send_order(fleet: &common::Fleet, homes: &[String], number: u32, seed: u64) -> Observed {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(u64::from(number));
    let home = &homes[random.random_range(0..homes.len())];
    let key = match number % 6 {
        0 => format!("made-up-{seed}-{number}"),
        _ => format!("{home}.order-{number}"),
    };
    let mut observed = Observed {
        path: format!("/orders/{number}"),
        key,
        ..Observed::default()
    };
    tokio::time::sleep(SEND_INTERVAL * number).await;
    for attempt in 1..=MAX_ATTEMPTS {
        let host = &fleet.hosts[random.random_range(0..fleet.hosts.len())];
        let bearer = format!("Bearer {}", common::KEY);
        let attempt = attempt.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            (header::IDEMPOTENCY_KEY, observed.key.as_str()),
            (header::ATTEMPT, attempt.as_str()),
        ];
        let call = fleet.call(host, "POST", &observed.path, &headers);
        let Ok(Some(reply)) = tokio::time::timeout(ATTEMPT_TIMEOUT, call).await else {
            continue;
        };
        if reply.status == 200 {
            observed.answers.insert(reply.body.to_vec());
        }
        if reply
            .headers
            .get(header::OUTCOME)
            .is_some_and(|outcome| outcome == "not-run")
        {
            observed.is_denied = true;
            break;
        }
    }
    observed
}

/// Injects random faults into hosts, targets and the platform while the callers send.
async fn inject_faults(fleet: &common::Fleet, seed: u64) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let modes = ["dead", "shedding", "cutting", "normal"];
    for _round in 0..8 {
        let pause = time::Duration::from_millis(random.random_range(100..500));
        tokio::time::sleep(pause).await;
        let target = random.random_range(4..8);
        let mode = modes[random.random_range(0..modes.len())];
        let slow = random.random_range(0..300);
        let faults = serde_json::json!({"mode": mode, "slow_millis": slow});
        fleet.target_faults(target, &faults).await;
        let down = random.random_range(0..3) == 0;
        let lost_answers = random.random_range(0..3);
        let faults = serde_json::json!({"down": down, "lose_answers": lost_answers});
        fleet.platform_faults(&faults).await;
        let suspended = &fleet.hosts[random.random_range(0..2)].entry;
        common::signal("-STOP", suspended);
        let suspension = time::Duration::from_millis(random.random_range(50..900));
        tokio::time::sleep(suspension).await;
        common::signal("-CONT", suspended);
    }
}

/// Runs all orders and the faults of a seed, and checks what every caller observed.
async fn run_seed(seed: u64) {
    let fleet = common::Fleet::start(&common::ZONES).await;
    let mut homes = Vec::new();
    for host in &fleet.hosts {
        let answer = fleet.lookup(host).await;
        homes.push(answer["home"].as_str().expect("a home").to_owned());
    }
    let fleet = sync::Arc::new(fleet);
    let callers = (0..ORDERS).map(|number| {
        let (fleet, homes) = (sync::Arc::clone(&fleet), homes.clone());
        tokio::spawn(async move { send_order(&fleet, &homes, number, seed).await })
    });
    let callers: Vec<_> = callers.collect();
    let killed = fleet.hosts[2].entry.id().to_string();
    let kill = async {
        tokio::time::sleep(SEND_INTERVAL * (ORDERS / 2)).await;
        let sent = process::Command::new("kill")
            .args(["-KILL", &killed])
            .status();
        assert!(sent.expect("kill runs").success());
    };
    tokio::join!(inject_faults(&fleet, seed), kill);
    let mut counts = [0; 3];
    for observed in futures::future::join_all(callers).await {
        let observed = observed.expect("the caller task completes");
        let starts = fleet.starts(&observed.key).await;
        assert!(
            starts <= 1,
            "seed {seed}: {observed:?} started {starts} times"
        );
        assert!(
            !observed.is_denied || starts == 0,
            "seed {seed}: {observed:?}"
        );
        assert!(observed.answers.len() <= 1, "seed {seed}: {observed:?}");
        for answer in &observed.answers {
            let body: serde_json::Value = serde_json::from_slice(answer).expect("JSON");
            assert_eq!(body["path"], observed.path.as_str(), "seed {seed}");
        }
        counts[0] += usize::from(starts == 1);
        counts[1] += observed.answers.len();
        counts[2] += usize::from(observed.is_denied);
    }
    println!("seed {seed}: started, answered, denied {counts:?}");
    assert!(counts[0] > 0 && counts[1] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_under_overlapping_faults_start_at_most_once() {
    for seed in 1..=2 {
        run_seed(seed).await;
    }
}
