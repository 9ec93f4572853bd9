//! Soak test: injects faults into host processes, also overlapping ones, and checks invariants
//! from what callers and targets see.
//!
//! Short runs with fixed seeds, with and without returns of the store from a copy, are part of
//! the tests. Longer runs are set with the environment variables `SOAK_SEEDS=1..50`, `SOAK_HOSTS`
//! and `SOAK_SECONDS` (of faults).

#[path = "../common/mod.rs"]
#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

mod caller;
mod deployment;
mod fault;
mod history;
mod proxy;

use std::ops;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Seeds of the short run.
const SHORT_SEEDS: ops::Range<u64> = 3..5;
/// Seconds in which faults begin in the short run.
const SHORT_FAULT_SECONDS: u64 = 8;
/// Seeds of the short run with returns of the store from a copy.
const RESTORE_SEEDS: ops::Range<u64> = 8..10;
/// Time between two copies of the store.
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Milliseconds between two returns.
const RETURN_PAUSE: ops::Range<u64> = 1_000..5_000;
/// Stream of the random numbers for returns, so that a seed's other faults stay as they are.
const RETURN_STREAM: u64 = 1;
/// Hosts of a run, alternating between two zones, so that a zone with a failed host keeps one.
const HOSTS: usize = 4;
/// Callers at each host that keep their connections.
const CALLERS: usize = 3;
/// Time after the last fault in which every host must serve again, `recoveryS` of the sites.
const MAX_RECOVERY_TIME: time::Duration = time::Duration::from_secs(15);
/// Successful responses in a row after which a host counts as recovered.
const RECOVERED_ANSWERS: u32 = 5;
/// Time after the last request in which a target may still run one that was refused.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time between two checks of a host's configuration.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Memory limit of a process in its settings.
const MAX_MEMORY_KIB: u64 = 260 * 1_024;
/// Fewest requests served in a run; with less the checks say little.
const MIN_SERVED: u64 = 200;

/// Seeds that once failed, with the seconds of faults in which they did.
const REGRESSIONS: [(u64, u64); 4] = [
    // Hosts that started together did not find each other, and each used an account's whole limit.
    (2, 8),
    // The test itself ended a target's drain when an earlier drain of it was over.
    (8, 8),
    // A reload signal during the start ended the process.
    (9, 12),
    (23, 12),
];

#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    hosts: usize,
    duration: time::Duration,
    returns: Returns,
}

/// Whether the store comes back from copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Returns {
    Never,
    Drawn,
}

impl Plan {
    const fn new(seed: u64, hosts: usize, seconds: u64) -> Self {
        Self {
            seed,
            hosts,
            duration: time::Duration::from_secs(seconds),
            returns: Returns::Never,
        }
    }

    /// Returns the plans of a seeded run, as set by the environment.
    fn of_run(short_seeds: ops::Range<u64>, returns: Returns) -> impl Iterator<Item = Self> {
        let setting = |name: &str| std::env::var(name).ok();
        let number = |name: &str| setting(name).map(|text| text.parse::<u64>().expect(name));
        let seeds = setting("SOAK_SEEDS").map_or(short_seeds, |text| {
            let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
            let bound = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is FIRST..LAST");
            bound(first)..bound(last) + 1
        });
        let duration = number("SOAK_SECONDS").unwrap_or(SHORT_FAULT_SECONDS);
        let hosts = number("SOAK_HOSTS");
        let hosts = hosts.map_or(HOSTS, |hosts| usize::try_from(hosts).expect("hosts"));
        seeds.map(move |seed| Self {
            returns,
            ..Self::new(seed, hosts, duration)
        })
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_seeded_faults() {
    run_seeds(Plan::of_run(SHORT_SEEDS, Returns::Never)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_when_the_store_comes_back_from_copies() {
    run_seeds(Plan::of_run(RESTORE_SEEDS, Returns::Drawn)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn previously_failing_seeds_pass() {
    let plans = REGRESSIONS.map(|(seed, duration)| Plan::new(seed, HOSTS, duration));
    let all = plans.map(|plan| run_seeds(std::iter::once(plan)));
    futures::future::join_all(all).await;
}

/// Guards the checks themselves: each of these requests violates one invariant.
#[tokio::test]
async fn invariant_violations_are_detected() {
    let target = common::target::Target::start("i-0").await;
    let history = history::History::default();
    let at = time::Instant::now();
    let ask = async |id: &str, tenant: &'static str| {
        let mut request = common::request("POST", "/order/1", id, Vec::new());
        let headers = request.headers_mut();
        headers.remove("authorization");
        headers.insert("tenant-id", tenant.parse().expect("header"));
        common::call(target.address, request).await.expect("answer")
    };
    let sent = history::Sent {
        path: "/order/1".to_owned(),
        is_safe: false,
        is_probe: false,
        account: "acme",
        host: 0,
        at,
    };
    for id in ["twice", "refused", "foreign", "other", "late", "closed"] {
        history.send(id, &sent);
    }
    let mut reply = ask("twice", "acme").await;
    ask("twice", "acme").await;
    ask("unknown", "acme").await;
    ask("foreign", "someone").await;
    ask("refused", "acme").await;
    let end = |id: &str, outcome: history::Outcome, after: u64| {
        history.end(id, &sent, &outcome, at + time::Duration::from_secs(after));
    };
    reply.status = 503;
    reply.headers.clear();
    end("refused", history::Outcome::Answered(reply), 0);
    end(
        "other",
        history::Outcome::Answered(ask("swapped", "acme").await),
        0,
    );
    end("late", history::Outcome::TimedOut, 6);
    end("closed", history::Outcome::Closed, 0);
    let violations = history.check(std::slice::from_ref(&target));
    for what in [
        "twice ran 2 times",
        "unknown ran and was never sent",
        "foreign ran for",
        "refused ran, its answer was 503",
        "other at host 0",
        "late at host 0",
        "closed at host 0",
    ] {
        let is_seen = violations.iter().any(|line| line.starts_with(what));
        assert!(is_seen, "{what}: {violations:#?}");
    }
    // The eighth violation is the run whose response is used for `other`.
    assert_eq!(violations.len(), 8, "{violations:#?}");
}

/// Runs the plans one after the other, and fails if any of them violated an invariant.
async fn run_seeds(plans: impl Iterator<Item = Plan>) {
    let mut failed = Vec::new();
    for plan in plans {
        let violations = run(plan).await;
        if !violations.is_empty() {
            println!("seed {}: {violations:#?}", plan.seed);
            failed.push(plan.seed);
        }
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}

/// Runs one plan; returns its violations.
async fn run(plan: Plan) -> Vec<String> {
    let began = time::Instant::now();
    let deployment = sync::Arc::new(deployment::Deployment::start(plan.hosts).await);
    let is_over = sync::Arc::new(atomic::AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    for host in 0..plan.hosts {
        for number in 0..CALLERS {
            let seed = plan.seed ^ u64::try_from(host * CALLERS + number + 1).expect("few") << 32;
            let caller = send_requests(
                sync::Arc::clone(&deployment),
                host,
                seed,
                sync::Arc::clone(&is_over),
            );
            tasks.spawn(caller);
        }
        let probes = probe(
            sync::Arc::clone(&deployment),
            host,
            sync::Arc::clone(&is_over),
        );
        tasks.spawn(probes);
    }
    inject(&deployment, plan).await;
    wait_for_recovery(&deployment).await;
    if plan.returns == Returns::Drawn {
        change_undisturbed(&deployment, plan).await;
    }
    is_over.store(true, atomic::Ordering::SeqCst);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a caller's task");
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut violations = deployment.history.check(&deployment.targets);
    let counts = deployment.history.counts();
    if counts.get("200").is_none_or(|served| *served < MIN_SERVED) {
        violations.push(format!("too few requests were served: {counts:?}"));
    }
    for (n, host) in deployment.hosts.iter().enumerate() {
        let mut host = host.lock().await;
        violations.extend(check_process(n, &mut host));
        if !violations.is_empty() {
            keep_log(plan.seed, n, &host.log());
        }
    }
    let took = began.elapsed().as_secs();
    println!("seed {}: {counts:?}, {took} s", plan.seed);
    violations
}

/// Returns violations of a process that was not told to stop.
fn check_process(n: usize, host: &mut common::host::Host) -> Vec<String> {
    let mut violations = Vec::new();
    if host.has_ended() {
        violations.push(format!("process of host {n} ended by itself"));
    } else if host.peak_kib() > MAX_MEMORY_KIB {
        violations.push(format!("host {n} took {} KiB", host.peak_kib()));
    }
    let log = host.log();
    let panics = log.lines().filter(|line| line.contains("panicked"));
    violations.extend(panics.map(|line| format!("host {n}: {line}")));
    violations
}

fn keep_log(seed: u64, host: usize, log: &str) {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let file = folder.join(format!("host-{host}.log"));
    std::fs::write(&file, log).expect("a log");
    println!("log kept: {}", file.display());
}

/// Injects faults, also overlapping ones, and waits until all are over.
async fn inject(deployment: &sync::Arc<deployment::Deployment>, plan: Plan) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed);
    let mut faults = tokio::task::JoinSet::new();
    if plan.returns == Returns::Drawn {
        faults.spawn(inject_returns(sync::Arc::clone(deployment), plan));
    }
    let began = time::Instant::now();
    while began.elapsed() < plan.duration {
        let fault = fault::Fault::draw(&mut random, deployment);
        let duration = time::Duration::from_millis(random.random_range(200..3_000));
        println!(
            "seed {}: {:?} {fault:?} {duration:?}",
            plan.seed,
            began.elapsed()
        );
        let shared = sync::Arc::clone(deployment);
        faults.spawn(async move { fault.apply(&shared, duration).await });
        let pause = random.random_range(50..1_200);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    while let Some(ended) = faults.join_next().await {
        ended.expect("a fault's task");
    }
    for proxy in [
        &deployment.store_proxies,
        &deployment.caller_proxies,
        &deployment.target_proxies,
    ]
    .into_iter()
    .flatten()
    {
        proxy.set(proxy::Mode::Forward);
    }
    deployment.store.set_mode(common::store::Mode::Serving);
    for (n, target) in deployment.targets.iter().enumerate() {
        target.set_behavior(common::target::Behavior::Answer);
        deployment.register(n, "ready");
    }
}

/// Brings the store back from copies now and then.
async fn inject_returns(deployment: sync::Arc<deployment::Deployment>, plan: Plan) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed);
    random.set_stream(RETURN_STREAM);
    let mut returns = tokio::task::JoinSet::new();
    let began = time::Instant::now();
    let mut due = began + time::Duration::from_millis(random.random_range(RETURN_PAUSE));
    while began.elapsed() < plan.duration {
        deployment.keep_copy();
        // After the last return versions stay below the lost ones for long.
        if due < began + plan.duration {
            deployment.write_other_rows();
        }
        tokio::time::sleep(COPY_INTERVAL).await;
        if time::Instant::now() < due {
            continue;
        }
        let fault = fault::Fault::draw_return(&mut random);
        let duration = time::Duration::from_millis(random.random_range(200..1_000));
        println!(
            "seed {}: {:?} {fault:?} {duration:?}",
            plan.seed,
            began.elapsed()
        );
        let shared = sync::Arc::clone(&deployment);
        returns.spawn(async move { fault.apply(&shared, duration).await });
        due += time::Duration::from_millis(random.random_range(RETURN_PAUSE));
    }
    while let Some(ended) = returns.join_next().await {
        ended.expect("a return's task");
    }
}

/// Waits until every host serves, and records a violation if that takes too long.
async fn wait_for_recovery(deployment: &deployment::Deployment) {
    let began = time::Instant::now();
    for host in 0..deployment.hosts.len() {
        let mut caller = caller::Caller::new(host);
        let mut served = 0;
        while served < RECOVERED_ANSWERS {
            if began.elapsed() > MAX_RECOVERY_TIME {
                let what =
                    format!("host {host} doesn't serve {MAX_RECOVERY_TIME:?} after the last fault");
                deployment.history.record_violation(what);
                return;
            }
            let outcome = caller.call(deployment, &safe_request("/look/again")).await;
            served = match outcome {
                Some(history::Outcome::Answered(reply)) if reply.status == 200 => served + 1,
                _ => 0,
            };
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

/// Changes the configuration and drains a target when the time bounds hold again.
async fn change_undisturbed(deployment: &deployment::Deployment, plan: Plan) {
    tokio::time::sleep(history::CONTACT_TIME).await;
    deployment.put_version();
    let target = usize::try_from(plan.seed).expect("seed") % deployment.targets.len();
    let leave = fault::Fault::Leave(target);
    leave.apply(deployment, history::APPLY_TIME).await;
}

fn safe_request(path: &str) -> caller::RequestSpec<'_> {
    caller::RequestSpec {
        path,
        is_safe: true,
        is_probe: false,
        account: "acme",
        key: "key-1",
        body: b"",
    }
}

/// Sends requests to one host until the run is over.
async fn send_requests(
    deployment: sync::Arc<deployment::Deployment>,
    host: usize,
    seed: u64,
    is_over: sync::Arc<atomic::AtomicBool>,
) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut caller = caller::Caller::new(host);
    while !is_over.load(atomic::Ordering::SeqCst) {
        let body = vec![b'x'; random.random_range(1..20_000)];
        let (account, key) = if random.random_ratio(1, 4) {
            ("small", "key-small")
        } else {
            ("acme", "key-1")
        };
        let object = random.random_range(0..40);
        let is_safe = random.random_ratio(1, 2);
        let path = if is_safe {
            format!("/look/{object}")
        } else {
            format!("/order/{object}")
        };
        let spec = caller::RequestSpec {
            path: &path,
            is_safe,
            account,
            key,
            body: if is_safe { b"" } else { &body },
            ..safe_request("")
        };
        caller.call(&deployment, &spec).await;
        let pause = random.random_range(5..60);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Probes the configuration that one host has in force until the run is over.
async fn probe(
    deployment: sync::Arc<deployment::Deployment>,
    host: usize,
    is_over: sync::Arc<atomic::AtomicBool>,
) {
    let mut caller = caller::Caller::new(host);
    let mut newest = (0, 0);
    while !is_over.load(atomic::Ordering::SeqCst) {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let version = deployment.version();
        if version.number == 0 {
            continue;
        }
        let life = deployment.incarnations[host].load(atomic::Ordering::SeqCst);
        if newest.0 != life {
            newest = (life, 0);
        }
        for (number, is_key) in [(version.number, false), (version.number - 1, true)] {
            let at = time::Instant::now();
            let is_due = at > version.at + history::APPLY_TIME
                && deployment.history.is_undisturbed(host, at);
            let path = format!("/v{number}/x");
            let key = deployment::version_key(number);
            let spec = if is_key {
                caller::RequestSpec {
                    is_probe: true,
                    account: "brief",
                    key: &key,
                    ..safe_request("/look/brief")
                }
            } else {
                caller::RequestSpec {
                    is_probe: true,
                    ..safe_request(&path)
                }
            };
            let Some(history::Outcome::Answered(reply)) = caller.call(&deployment, &spec).await
            else {
                continue;
            };
            let is_same_life = deployment.incarnations[host].load(atomic::Ordering::SeqCst) == life;
            match (reply.status, is_key) {
                (404, false) if is_due => {
                    report_violation(&deployment, host, &format!("lacks {path}"));
                }
                (404, false) if newest.1 >= number && is_same_life => {
                    report_violation(&deployment, host, &format!("went back from {path}"));
                }
                (200, false) if is_same_life => newest.1 = newest.1.max(number),
                (200, true) if is_due => {
                    report_violation(&deployment, host, &format!("still takes {key}"));
                }
                _ => {}
            }
        }
    }
}

fn report_violation(deployment: &deployment::Deployment, host: usize, what: &str) {
    deployment
        .history
        .record_violation(format!("host {host} {what}"));
}
