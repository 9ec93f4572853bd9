//! Orders under faults that overlap: each starts at most once, and no "not run" is false.

mod common;

use std::collections;
use std::process;
use std::sync;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_wire::header;

const ORDERS: u32 = 60;
const ATTEMPTS: u32 = 5;
const CALLER_LIMIT: time::Duration = time::Duration::from_millis(700);
const SPREAD: time::Duration = time::Duration::from_millis(60);

/// What one caller was told of its order.
#[derive(Debug, Default)]
struct Told {
    key: String,
    path: String,
    is_denied: bool,
    answers: collections::BTreeSet<Vec<u8>>,
}

/// Sends one order, and sends it again through other hosts until it is answered or denied.
async fn caller(fleet: &common::Fleet, homes: &[String], number: u32, seed: u64) -> Told {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(u64::from(number));
    let home = &homes[random.random_range(0..homes.len())];
    let key = match number % 6 {
        0 => format!("made-up-{seed}-{number}"),
        _ => format!("{home}.order-{number}"),
    };
    let mut told = Told {
        path: format!("/orders/{number}"),
        key,
        ..Told::default()
    };
    tokio::time::sleep(SPREAD * number).await;
    for attempt in 1..=ATTEMPTS {
        let host = &fleet.hosts[random.random_range(0..fleet.hosts.len())];
        let bearer = format!("Bearer {}", common::KEY);
        let attempt = attempt.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            (header::IDEMPOTENCY_KEY, told.key.as_str()),
            (header::ATTEMPT, attempt.as_str()),
        ];
        let call = fleet.call(host, "POST", &told.path, &headers);
        let Ok(Some(reply)) = tokio::time::timeout(CALLER_LIMIT, call).await else {
            continue;
        };
        if reply.status == 200 {
            told.answers.insert(reply.body.to_vec());
        }
        if reply
            .headers
            .get(header::OUTCOME)
            .is_some_and(|o| o == "not-run")
        {
            told.is_denied = true;
            break;
        }
    }
    told
}

/// Breaks hosts, targets and the platform while the callers send.
async fn break_things(fleet: &common::Fleet, seed: u64) {
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
        let lose = random.random_range(0..3);
        let faults = serde_json::json!({"down": down, "lose_answers": lose});
        fleet.platform_faults(&faults).await;
        let frozen = &fleet.hosts[random.random_range(0..2)].entry;
        common::signal("-STOP", frozen);
        let nap = time::Duration::from_millis(random.random_range(50..900));
        tokio::time::sleep(nap).await;
        common::signal("-CONT", frozen);
    }
}

async fn run(seed: u64) {
    let fleet = common::Fleet::start(&common::ZONES).await;
    let mut homes = Vec::new();
    for host in &fleet.hosts {
        let answer = fleet.lookup(host).await;
        homes.push(answer["home"].as_str().expect("a home").to_owned());
    }
    let fleet = sync::Arc::new(fleet);
    let callers = (0..ORDERS).map(|number| {
        let (fleet, homes) = (sync::Arc::clone(&fleet), homes.clone());
        tokio::spawn(async move { caller(&fleet, &homes, number, seed).await })
    });
    let callers: Vec<_> = callers.collect();
    let killed = fleet.hosts[2].entry.id().to_string();
    let kill = async {
        tokio::time::sleep(SPREAD * (ORDERS / 2)).await;
        let sent = process::Command::new("kill")
            .args(["-KILL", &killed])
            .status();
        assert!(sent.expect("kill runs").success());
    };
    tokio::join!(break_things(&fleet, seed), kill);
    let mut counts = [0; 3];
    for told in futures::future::join_all(callers).await {
        let told = told.expect("a caller ends");
        let starts = fleet.starts(&told.key).await;
        assert!(starts <= 1, "seed {seed}: {told:?} started {starts} times");
        assert!(!told.is_denied || starts == 0, "seed {seed}: {told:?}");
        assert!(told.answers.len() <= 1, "seed {seed}: {told:?}");
        for answer in &told.answers {
            let said: serde_json::Value = serde_json::from_slice(answer).expect("JSON");
            assert_eq!(said["path"], told.path.as_str(), "seed {seed}");
        }
        counts[0] += usize::from(starts == 1);
        counts[1] += told.answers.len();
        counts[2] += usize::from(told.is_denied);
    }
    println!("seed {seed}: started, answered, denied {counts:?}");
    assert!(counts[0] > 0 && counts[1] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_under_overlapping_faults_start_at_most_once() {
    for seed in 1..=2 {
        run(seed).await;
    }
}
