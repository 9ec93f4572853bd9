//! Strategies for enforcing the limits of accounts over all entry hosts.

use skylark_core::record;
use skylark_core::unit;

/// A strategy for enforcing limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each host enforces a fixed, equal share.
    Static,
    /// Each request asks one owner.
    Owner,
    /// Each request makes a conditional write to the table of the platform.
    Table,
    /// Hosts get grants from an owner and keep a reserve.
    Grants {
        /// Part of each limit that is divided among hosts as a reserve, in percent.
        reserve: u32,
        /// What a host does when its tokens do not suffice.
        shortage: record::Shortage,
    },
}

impl Strategy {
    /// Returns every strategy.
    #[must_use]
    pub fn all() -> Vec<Self> {
        use record::Shortage::{Ask, Refuse};
        let mut strategies = vec![Self::Static, Self::Owner, Self::Table];
        for shortage in [Ask, Refuse] {
            for reserve in [0, 25, 50, 75] {
                strategies.push(Self::Grants { reserve, shortage });
            }
        }
        strategies
    }

    /// Returns the name that reports print.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Static => "static split".to_owned(),
            Self::Owner => "owner only".to_owned(),
            Self::Table => "table write".to_owned(),
            Self::Grants { reserve, shortage } => {
                let suffix = match shortage {
                    record::Shortage::Ask => "ask",
                    record::Shortage::Refuse => "refuse",
                };
                format!("grants {reserve}% {suffix}")
            }
        }
    }
}

/// Converts whole percent to a [`unit::Percent`].
#[must_use]
pub fn percent(whole: u32) -> unit::Percent {
    unit::Percent::from_basis_points(whole.saturating_mul(100))
}
