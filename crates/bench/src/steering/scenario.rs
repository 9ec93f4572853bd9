//! Scenarios of load and faults.

/// The load on a deployment and the fault that occurs in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Load at 60% of the capacity, without a fault.
    Normal,
    /// Load at twice the capacity; one account sends most of the excess.
    Overload,
    /// All hosts and targets of the first region fail after a third of the run.
    RegionLoss,
    /// One target in each region takes twice as long and always reports a load of zero.
    Misleading,
    /// The targets of the second region lose their caches after a third of the run.
    ColdCache,
    /// One target takes ten times as long for each request.
    SlowTarget,
    /// One target announces in its answers that it is leaving, after a third of the run.
    Drain,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Normal,
        Self::Overload,
        Self::RegionLoss,
        Self::Misleading,
        Self::ColdCache,
        Self::SlowTarget,
        Self::Drain,
    ];

    /// Returns the name that reports print.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Overload => "overload-2x",
            Self::RegionLoss => "region-loss",
            Self::Misleading => "misleading",
            Self::ColdCache => "cold-cache",
            Self::SlowTarget => "slow-target",
            Self::Drain => "drain",
        }
    }

    /// Returns the offered load as a percentage of the capacity.
    pub const fn load(self) -> u64 {
        match self {
            Self::Overload => 200,
            _ => 60,
        }
    }
}
