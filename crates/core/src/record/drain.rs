//! Record of a planned drain.

use crate::name;

/// A planned drain: the subject gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the drain.
    pub name: String,
    /// What is drained.
    pub subject: Subject,
}

/// What a drain empties.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// One target.
    Target(name::Target),
    /// All targets of an availability zone.
    Zone(name::Zone),
    /// One entry host.
    Host(name::Host),
}
