//! The ways of keeping a budget that are measured.

use skylark_core::record;
use skylark_core::unit;

/// A way of keeping a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each host has an equal part for good.
    Static,
    /// Each request asks the one owner.
    Owner,
    /// Each request is a conditional write to the platform's table.
    Table,
    /// Loans from an owner, and a reserve.
    Grants {
        /// Part of each budget that is reserve, in percent.
        reserve: u32,
        /// What a host does when it is short.
        shortage: record::Shortage,
    },
}

impl Way {
    /// Returns every way.
    #[must_use]
    pub fn all() -> Vec<Self> {
        use record::Shortage::{Ask, Refuse};
        let mut ways = vec![Self::Static, Self::Owner, Self::Table];
        for shortage in [Ask, Refuse] {
            for reserve in [0, 25, 50, 75] {
                ways.push(Self::Grants { reserve, shortage });
            }
        }
        ways
    }

    /// Returns the way's name.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Static => "static split".to_owned(),
            Self::Owner => "owner only".to_owned(),
            Self::Table => "table write".to_owned(),
            Self::Grants { reserve, shortage } => {
                let word = match shortage {
                    record::Shortage::Ask => "ask",
                    record::Shortage::Refuse => "refuse",
                };
                format!("grants {reserve}% {word}")
            }
        }
    }
}

/// Returns a percentage.
#[must_use]
pub fn percent(whole: u32) -> unit::Percent {
    unit::Percent::from_basis_points(whole.saturating_mul(100))
}
