//! What goes wrong in a run.

/// A course of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// 60% of the capacity, nothing fails.
    Normal,
    /// Twice the capacity; one account sends most of the excess.
    Overload,
    /// The first region's hosts and targets die after a third of the run.
    RegionLoss,
    /// One target in each region always reports to be idle.
    Misleading,
    /// The targets of the second region lose their caches after a third of the run.
    ColdCache,
    /// One target answers ten times slower.
    SlowTarget,
    /// One target says on its answers that it is leaving, after a third of the run.
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

    /// Returns the scenario's name.
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
