//! Name of an availability zone.

super::declare!(
    /// Name of an availability zone.
    Zone, "availability zone"
);
