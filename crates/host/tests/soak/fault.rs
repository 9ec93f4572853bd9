//! Fault injection into a soak run from outside its processes.

use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;

use super::common::host;
use super::common::store;
use super::common::target;
use super::deployment;
use super::history;
use super::proxy;

/// Time after SIGTERM in which a process must end: `graceS` of the settings, and a second for
/// a busy machine.
const MAX_STOP_TIME: time::Duration = time::Duration::from_secs(7);
/// Time in which a process must write its first log line.
const MAX_START_TIME: time::Duration = time::Duration::from_secs(5);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// A fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The process is stopped by SIGSTOP and continued later.
    Pause(usize),
    Kill(usize),
    /// The process is asked to stop, and started again.
    Stop(usize),
    Reload(usize),
    Store(store::Mode),
    StoreNetwork(usize, proxy::Mode),
    CallerNetwork(usize, proxy::Mode),
    TargetNetwork(usize, proxy::Mode),
    Target(usize, target::Behavior),
    /// The target drains, and is ready again later.
    Leave(usize),
    /// The operator changes routes and keys.
    Version,
    /// The store comes back from a copy.
    Restore(Return),
}

/// A return of the store from a copy; what is lost is written again after some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Return {
    copy_age: time::Duration,
    /// How the store is away before; `None` if it isn't.
    absence: Option<store::Mode>,
    rewrite_after: time::Duration,
    register_after: [time::Duration; deployment::TARGETS],
}

impl Return {
    fn draw(random: &mut rand_chacha::ChaCha8Rng) -> Self {
        let mut millis = |range| time::Duration::from_millis(random.random_range(range));
        let copy_age = millis(1_000..6_000);
        let rewrite_after = millis(0..1_000);
        let register_after = std::array::from_fn(|_n| millis(0..2_000));
        let absences = [
            None,
            Some(store::Mode::Unresponsive),
            Some(store::Mode::Unavailable),
        ];
        Self {
            copy_age,
            absence: *absences.choose(random).expect("an absence"),
            rewrite_after,
            register_after,
        }
    }

    /// Takes the store away, and brings it back.
    async fn bring_back(&self, deployment: &deployment::Deployment, duration: time::Duration) {
        if let Some(mode) = self.absence {
            deployment.store.set_mode(mode);
            tokio::time::sleep(duration).await;
        }
        if let Some(copy) = deployment.copy_of(self.copy_age) {
            deployment.store.restore(&copy);
        }
        deployment.store.set_mode(store::Mode::Serving);
    }

    /// Has the operator and the targets write again.
    async fn rewrite(&self, deployment: &deployment::Deployment) {
        let operator = async {
            tokio::time::sleep(self.rewrite_after).await;
            deployment.put_version_again();
        };
        let targets = self.register_after.iter().enumerate();
        let targets = targets.map(|(n, delay)| async move {
            tokio::time::sleep(*delay).await;
            deployment.register_again(n);
        });
        futures::future::join(operator, futures::future::join_all(targets)).await;
    }
}

impl Fault {
    /// Draws a return of the store.
    pub(crate) fn draw_return(random: &mut rand_chacha::ChaCha8Rng) -> Self {
        Self::Restore(Return::draw(random))
    }

    /// Draws a random fault.
    pub(crate) fn draw(
        random: &mut rand_chacha::ChaCha8Rng,
        deployment: &deployment::Deployment,
    ) -> Self {
        let host = random.random_range(0..deployment.hosts.len());
        let target = random.random_range(0..deployment.targets.len());
        let slow = time::Duration::from_millis(random.random_range(5..400));
        let network_modes = [
            proxy::Mode::Slow(slow),
            proxy::Mode::StallUpstream,
            proxy::Mode::StallDownstream,
            proxy::Mode::Reset,
        ];
        let behaviors = [
            target::Behavior::RefuseToRun,
            target::Behavior::Disconnect,
            target::Behavior::Hang,
            target::Behavior::Truncate,
            target::Behavior::AnswerTwice,
        ];
        let modes = [
            store::Mode::Unresponsive,
            store::Mode::Unavailable,
            store::Mode::Compacted,
        ];
        let mode = *network_modes.choose(random).expect("a mode");
        match random.random_range(0..14) {
            0 => Self::Pause(host),
            1 => Self::Kill(host),
            2 => Self::Stop(host),
            3 => Self::Reload(host),
            4 => Self::Store(*modes.choose(random).expect("a mode")),
            5 => Self::StoreNetwork(host, mode),
            6 => Self::CallerNetwork(host, mode),
            7 | 8 => Self::TargetNetwork(target, mode),
            9 | 10 => Self::Target(target, *behaviors.choose(random).expect("a behavior")),
            11 => Self::Leave(target),
            _ => Self::Version,
        }
    }

    /// Injects the fault for a duration, and records what it disturbs.
    pub(crate) async fn apply(self, deployment: &deployment::Deployment, duration: time::Duration) {
        let place = self.place();
        if let Some(place) = place {
            deployment
                .history
                .begin_disturbance(place, time::Instant::now());
        }
        self.inject(deployment, duration).await;
        if let Some(place) = place {
            deployment
                .history
                .end_disturbance(place, time::Instant::now());
        }
        if let Self::Restore(restored) = self {
            restored.rewrite(deployment).await;
        }
    }

    /// Returns the place whose time bounds do not hold during the fault, if any.
    const fn place(self) -> Option<history::Place> {
        match self {
            Self::Pause(n)
            | Self::Kill(n)
            | Self::Stop(n)
            | Self::Reload(n)
            | Self::StoreNetwork(n, _)
            | Self::CallerNetwork(n, _) => Some(history::Place::Host(n)),
            Self::Store(_) | Self::Restore(_) => Some(history::Place::Store),
            Self::TargetNetwork(..) | Self::Target(..) | Self::Leave(_) | Self::Version => None,
        }
    }

    async fn inject(self, deployment: &deployment::Deployment, duration: time::Duration) {
        match self {
            Self::Pause(n) => {
                let host = deployment.hosts[n].lock().await;
                host.signal("-STOP");
                tokio::time::sleep(duration).await;
                host.signal("-CONT");
            }
            Self::Kill(n) => {
                let mut host = deployment.hosts[n].lock().await;
                host.kill();
                tokio::time::sleep(duration).await;
                restart(deployment, n, &mut host).await;
            }
            Self::Stop(n) => stop(deployment, n).await,
            Self::Reload(n) => deployment.hosts[n].lock().await.signal("-HUP"),
            Self::Store(mode) => {
                deployment.store.set_mode(mode);
                tokio::time::sleep(duration).await;
                deployment.store.set_mode(store::Mode::Serving);
            }
            Self::StoreNetwork(n, mode) => {
                impair(&deployment.store_proxies[n], mode, duration).await;
            }
            Self::CallerNetwork(n, mode) => {
                impair(&deployment.caller_proxies[n], mode, duration).await;
            }
            Self::TargetNetwork(n, mode) => {
                impair(&deployment.target_proxies[n], mode, duration).await;
            }
            Self::Target(n, behavior) => {
                deployment.targets[n].set_behavior(behavior);
                tokio::time::sleep(duration).await;
                deployment.targets[n].set_behavior(target::Behavior::Answer);
            }
            Self::Leave(n) => {
                let _drain = deployment.drain_locks[n].lock().await;
                deployment.register(n, "draining");
                let began = time::Instant::now();
                tokio::time::sleep(history::DRAIN_TIME + duration).await;
                let now = time::Instant::now();
                deployment
                    .history
                    .record_drain(&deployment.targets[n].id, began, now);
                deployment.register(n, "ready");
            }
            Self::Version => deployment.put_version(),
            Self::Restore(restored) => restored.bring_back(deployment, duration).await,
        }
    }
}

/// Starts a process again, and waits until it handles signals.
async fn restart(deployment: &deployment::Deployment, n: usize, host: &mut host::Host) {
    deployment.incarnations[n].fetch_add(1, atomic::Ordering::SeqCst);
    let before = host.log().len();
    host.restart();
    let began = time::Instant::now();
    while host.log().len() == before && began.elapsed() < MAX_START_TIME {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn impair(proxy: &proxy::Proxy, mode: proxy::Mode, duration: time::Duration) {
    proxy.set(mode);
    tokio::time::sleep(duration).await;
    proxy.set(proxy::Mode::Forward);
}

async fn stop(deployment: &deployment::Deployment, n: usize) {
    let mut host = deployment.hosts[n].lock().await;
    host.signal("-TERM");
    let began = time::Instant::now();
    while !host.has_ended() {
        if began.elapsed() > MAX_STOP_TIME {
            let what = format!("host {n} runs {MAX_STOP_TIME:?} after SIGTERM");
            deployment.history.record_violation(what);
            host.kill();
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    restart(deployment, n, &mut host).await;
}
