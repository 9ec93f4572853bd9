//! Snapshot of one target, as an entry host weighs it for a choice.

/// Age at which a load report has no weight left, in microseconds.
pub const MAX_REPORT_AGE_MICROS: u32 = 2_000_000;

/// Multiple of the base cost that a failure rate of 100% adds to it.
const FAILURE_WEIGHT: u64 = 8;

/// Randomly drawn target, with what the host knew of it at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Index of the target among the service's targets, sorted by name.
    pub index: u32,
    /// Position of the target among the tier's usable targets.
    pub position: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of requests that this host has in flight to the target.
    #[serde(rename = "own")]
    pub in_flight: u32,
    /// Number of requests of other hosts on the target, by its last load report.
    #[serde(rename = "others")]
    pub reported_load: u32,
    /// Age of the last load report, in microseconds.
    #[serde(rename = "age_us")]
    pub age: u32,
    /// Mean time in which the target answers this host, in microseconds.
    #[serde(rename = "service_us")]
    pub service_time: u32,
    /// Recent rate of failed requests, in basis points.
    #[serde(rename = "faults")]
    pub failure_rate: u32,
    /// Recent rate of requests that the target shed, in basis points.
    #[serde(rename = "sheds")]
    pub shed_rate: u32,
    /// Fraction of its slots that a target in slow start may use, in basis points.
    pub warmth: u32,
    /// Whether the target is far slower than the service's other targets.
    pub is_slow: bool,
    /// Whether an earlier attempt of the request was sent to this target.
    pub is_tried: bool,
}

impl Candidate {
    /// Estimates the number of requests on the target.
    ///
    /// Adds the load that other hosts cause to this host's requests in flight.
    /// A load report loses weight with age. Shed requests contradict a low
    /// report, so their rate sets a lower bound for the other hosts' load.
    #[must_use]
    pub fn load(&self) -> u32 {
        let weight = u64::from(MAX_REPORT_AGE_MICROS.saturating_sub(self.age));
        let reported = u64::from(self.reported_load) * weight / u64::from(MAX_REPORT_AGE_MICROS);
        let floor = u64::from(self.slots) * u64::from(self.shed_rate)
            / u64::from(super::WHOLE_BASIS_POINTS);
        let others = u32::try_from(reported.max(floor)).unwrap_or(u32::MAX);
        self.in_flight.saturating_add(others)
    }

    /// Returns the number of slots that slow start allows, at least one.
    #[must_use]
    pub fn warm_slots(&self) -> u32 {
        let slots =
            u64::from(self.slots) * u64::from(self.warmth) / u64::from(super::WHOLE_BASIS_POINTS);
        u32::try_from(slots).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many more requests this host may send to the target.
    ///
    /// Only what the host observed itself counts: its requests in flight and the
    /// requests that the target shed. A load report is older than a request
    /// lasts, so a target counted as full by its report alone would stay idle.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        if self.shed_rate >= super::WHOLE_BASIS_POINTS {
            return 0;
        }
        let accepted = u64::from(super::WHOLE_BASIS_POINTS - self.shed_rate);
        let window = u64::from(self.warm_slots()) * accepted / u64::from(super::WHOLE_BASIS_POINTS);
        let window = u32::try_from(window).unwrap_or(u32::MAX).max(1);
        window.saturating_sub(self.in_flight)
    }

    /// Returns the relative cost of one more request, for comparison only.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let whole = u64::from(super::WHOLE_BASIS_POINTS);
        let width = u64::from(self.warm_slots());
        let demand = width + u64::from(self.load());
        let failures = whole + FAILURE_WEIGHT * u64::from(self.failure_rate);
        let service_time = u64::from(self.service_time.max(1));
        service_time.saturating_mul(demand).saturating_mul(failures) / width
    }
}
