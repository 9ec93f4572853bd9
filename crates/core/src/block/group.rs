//! Client group: the clients whose traffic is steered together.

/// A client group, by its index in the plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Group(u16);

impl Group {
    /// Creates a group from its index.
    #[must_use]
    pub const fn new(index: u16) -> Self {
        Self(index)
    }

    /// Returns the index.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}
