//! Counters and latency histograms in the Prometheus text format.

use std::fmt::Write as _;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::kind;
use skylark_core::traffic;

use super::error;
use super::listeners;
use super::state;

/// Path of the metrics.
const PATH: &str = "/metrics";
/// Upper bounds of the histogram's buckets.
const BUCKET_BOUNDS_MILLIS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 10_000];

/// Answers with a limit that was not understood for each line in the log.
const MALFORMED_LIMITS_PER_LINE: u64 = 100;

/// Latency histogram in milliseconds.
#[derive(Debug, Default)]
struct Histogram {
    counts: [atomic::AtomicU64; BUCKET_BOUNDS_MILLIS.len() + 1],
    sum_millis: atomic::AtomicU64,
}

impl Histogram {
    fn record(&self, duration: time::Duration) {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let bucket = BUCKET_BOUNDS_MILLIS.partition_point(|bound| *bound < millis);
        self.counts[bucket].fetch_add(1, atomic::Ordering::Relaxed);
        self.sum_millis.fetch_add(millis, atomic::Ordering::Relaxed);
    }

    fn write(&self, name: &str, out: &mut String) -> std::fmt::Result {
        writeln!(out, "# TYPE {name} histogram")?;
        let mut total = 0;
        for (position, count) in self.counts.iter().enumerate() {
            total += count.load(atomic::Ordering::Relaxed);
            let bound = BUCKET_BOUNDS_MILLIS.get(position).map(u64::to_string);
            let bound = bound.as_deref().unwrap_or("+Inf");
            writeln!(out, "{name}_bucket{{le=\"{bound}\"}} {total}")?;
        }
        let sum = self.sum_millis.load(atomic::Ordering::Relaxed);
        writeln!(out, "{name}_sum {sum}\n{name}_count {total}")
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    answered: atomic::AtomicU64,
    refused: [atomic::AtomicU64; kind::ErrorKind::ALL.len()],
    waited: atomic::AtomicU64,
    sends: [atomic::AtomicU64; traffic::Warmth::ALL.len()],
    retries: atomic::AtomicU64,
    responses: Histogram,
    refusals: Histogram,
    store_calls: atomic::AtomicU64,
    unanswered_requests: atomic::AtomicU64,
    /// Requests for table changes that another host had no room for.
    busy_pulls: atomic::AtomicU64,
    /// Requests for table changes that another host did not answer.
    failed_pulls: atomic::AtomicU64,
    /// Answers of targets whose limit was not understood.
    malformed_limits: atomic::AtomicU64,
}

impl Metrics {
    /// Counts a request that was answered with a target's response.
    pub(crate) fn record_response(&self, took: time::Duration) {
        self.answered.fetch_add(1, atomic::Ordering::Relaxed);
        self.responses.record(took);
    }

    /// Counts a request that was answered with an error of this host.
    pub(crate) fn record_refusal(&self, kind: kind::ErrorKind, took: time::Duration) {
        let position = kind::ErrorKind::ALL.iter().position(|other| *other == kind);
        if let Some(counter) = position.and_then(|position| self.refused.get(position)) {
            counter.fetch_add(1, atomic::Ordering::Relaxed);
        }
        self.refusals.record(took);
    }

    /// Counts a request that waited in the queue.
    pub(crate) fn record_wait(&self) {
        self.waited.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a send to a target.
    pub(crate) fn record_send(&self, warmth: traffic::Warmth, is_retry: bool) {
        self.sends[warmth.position()].fetch_add(1, atomic::Ordering::Relaxed);
        let retries = u64::from(is_retry);
        self.retries.fetch_add(retries, atomic::Ordering::Relaxed);
    }

    /// Counts a request for table changes that another host had no room for.
    pub(crate) fn record_busy_pull(&self) {
        self.busy_pulls.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request for table changes that another host did not answer.
    pub(crate) fn record_failed_pull(&self) {
        self.failed_pulls.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts an answer whose limit was not understood; returns whether it is to be logged.
    pub(crate) fn record_malformed_limit(&self) -> bool {
        let before = self
            .malformed_limits
            .fetch_add(1, atomic::Ordering::Relaxed);
        before.is_multiple_of(MALFORMED_LIMITS_PER_LINE)
    }

    /// Counts a request to the store.
    pub(crate) fn record_store_call(&self) {
        self.store_calls.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a token request that the holder did not answer.
    pub(crate) fn record_unanswered(&self) {
        self.unanswered_requests
            .fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn render(&self, state: &state::State) -> Result<String, std::fmt::Error> {
        let mut out = String::new();
        let get = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        let counters = [
            ("skylark_host_answered_total", get(&self.answered)),
            ("skylark_host_waited_total", get(&self.waited)),
            ("skylark_host_repeats_total", get(&self.retries)),
            ("skylark_host_store_calls_total", get(&self.store_calls)),
            (
                "skylark_host_unheard_asks_total",
                get(&self.unanswered_requests),
            ),
            ("skylark_host_pulls_busy_total", get(&self.busy_pulls)),
            ("skylark_host_pulls_failed_total", get(&self.failed_pulls)),
            (
                "skylark_host_malformed_limits_total",
                get(&self.malformed_limits),
            ),
            (
                "skylark_host_overdue_requests_total",
                state.cluster().dispatcher().overdue(),
            ),
        ];
        for (name, value) in counters {
            writeln!(out, "# TYPE {name} counter\n{name} {value}")?;
        }
        writeln!(out, "# TYPE skylark_host_refused_total counter")?;
        for (kind, counter) in kind::ErrorKind::ALL.iter().zip(&self.refused) {
            let value = get(counter);
            writeln!(out, "skylark_host_refused_total{{kind=\"{kind}\"}} {value}")?;
        }
        writeln!(out, "# TYPE skylark_host_sends_total counter")?;
        for (warmth, counter) in traffic::Warmth::ALL.iter().zip(&self.sends) {
            let (warmth, value) = (warmth.as_str(), get(counter));
            writeln!(
                out,
                "skylark_host_sends_total{{warmth=\"{warmth}\"}} {value}"
            )?;
        }
        let busy = state.busy.load(atomic::Ordering::Relaxed);
        let versions = state.cluster().versions();
        let in_force = state
            .cluster()
            .dispatcher()
            .rules()
            .map(|rules| rules.version);
        let limited = state
            .cluster()
            .dispatcher()
            .limits()
            .limited(state.clock.now());
        let (owed, silent) = state.cluster().dispatcher().owed_answers(state.clock.now());
        let held = state.cluster().dispatcher().quotas().held();
        let hosts = state
            .cluster()
            .dispatcher()
            .fleet()
            .live(state.clock.now())
            .count();
        let gauges = [
            (
                "skylark_host_busy_requests",
                u64::try_from(busy).unwrap_or(u64::MAX),
            ),
            ("skylark_host_orders_version", versions.config.version()),
            ("skylark_host_targets_version", versions.targets.version()),
            ("skylark_host_store_epoch", state.store_epoch()),
            (
                "skylark_host_configuration_version",
                in_force.unwrap_or_default(),
            ),
            (
                "skylark_host_limited_targets",
                u64::try_from(limited).unwrap_or(u64::MAX),
            ),
            (
                "skylark_host_held_shares",
                u64::try_from(held).unwrap_or(u64::MAX),
            ),
            ("skylark_host_requests_at_targets", owed.into()),
            (
                "skylark_host_silent_targets",
                u64::try_from(silent.len()).unwrap_or(u64::MAX),
            ),
            (
                "skylark_host_heard_hosts",
                u64::try_from(hosts).unwrap_or(u64::MAX),
            ),
        ];
        for (name, value) in gauges {
            writeln!(out, "# TYPE {name} gauge\n{name} {value}")?;
        }
        self.responses
            .write("skylark_host_answer_milliseconds", &mut out)?;
        self.refusals
            .write("skylark_host_refusal_milliseconds", &mut out)?;
        Ok(out)
    }
}

/// Serves the metrics until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "metrics", move |request| {
        let state = sync::Arc::clone(&state);
        async move {
            if request.uri().path() != PATH {
                return listeners::response(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
            }
            match state.metrics.render(&state) {
                Ok(text) => {
                    let media = "text/plain; version=0.0.4";
                    listeners::response(hyper::StatusCode::OK, media, text.into_bytes())
                }
                Err(error) => {
                    log::error!(error:% = error; "metrics could not be rendered; answered with 500");
                    let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    listeners::response(status, "text/plain", Vec::new())
                }
            }
        }
    })
    .await
}
