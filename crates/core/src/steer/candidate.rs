//! What an entry host knows of one target when it chooses.

/// Age at which a load report counts for nothing, in microseconds.
pub const MAX_REPORT_AGE_MICROS: u32 = 2_000_000;

const FAULT_WEIGHT: u64 = 8;

/// One drawn target, with what the host knew of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Index of the target among the service's targets, in order of name.
    pub index: u32,
    /// Position among the tier's usable targets.
    pub position: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests of this host that are on the target.
    #[serde(rename = "own")]
    pub in_flight: u32,
    /// Requests of other hosts on the target, by its last report.
    #[serde(rename = "others")]
    pub reported_load: u32,
    /// Age of that report, in microseconds.
    #[serde(rename = "age_us")]
    pub age: u32,
    /// Time in which the target answers, as this host saw it, in microseconds.
    #[serde(rename = "service_us")]
    pub service_time: u32,
    /// Recent failures of exchanges with the target, in basis points.
    #[serde(rename = "faults")]
    pub failure_rate: u32,
    /// Recent refusals by the target for want of room, in basis points.
    #[serde(rename = "sheds")]
    pub shed_rate: u32,
    /// Part of its slots that the target is trusted with, in basis points.
    pub warmth: u32,
    /// Whether the target answers far slower than the service's others.
    pub is_slow: bool,
    /// Whether the request was sent to this target before.
    pub is_tried: bool,
}

impl Candidate {
    /// Returns the load to reckon with: own requests and a belief about others.
    ///
    /// A report loses weight with age. Refusals for want of room contradict a
    /// low report, so they set a floor under the belief.
    #[must_use]
    pub fn load(&self) -> u32 {
        let weight = u64::from(MAX_REPORT_AGE_MICROS.saturating_sub(self.age));
        let told = u64::from(self.reported_load) * weight / u64::from(MAX_REPORT_AGE_MICROS);
        let floor = u64::from(self.slots) * u64::from(self.shed_rate)
            / u64::from(super::WHOLE_BASIS_POINTS);
        let others = u32::try_from(told.max(floor)).unwrap_or(u32::MAX);
        self.in_flight.saturating_add(others)
    }

    /// Returns the slots that the target is trusted with, at least one.
    #[must_use]
    pub fn warm_slots(&self) -> u32 {
        let part =
            u64::from(self.slots) * u64::from(self.warmth) / u64::from(super::WHOLE_BASIS_POINTS);
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many more requests this host may have on the target.
    ///
    /// Only what the host saw itself closes a target: its own requests, and
    /// refusals for want of room. A report lags by more than a request lasts,
    /// so that a target held to be full by its report alone would stand idle.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        if self.shed_rate >= super::WHOLE_BASIS_POINTS {
            return 0;
        }
        let open = u64::from(super::WHOLE_BASIS_POINTS - self.shed_rate);
        let window = u64::from(self.warm_slots()) * open / u64::from(super::WHOLE_BASIS_POINTS);
        let window = u32::try_from(window).unwrap_or(u32::MAX).max(1);
        window.saturating_sub(self.in_flight)
    }

    /// Returns what one more request costs here; only comparison has a meaning.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let whole = u64::from(super::WHOLE_BASIS_POINTS);
        let width = u64::from(self.warm_slots());
        let crowd = width + u64::from(self.load());
        let faults = whole + FAULT_WEIGHT * u64::from(self.failure_rate);
        let time = u64::from(self.service_time.max(1));
        time.saturating_mul(crowd).saturating_mul(faults) / width
    }
}
