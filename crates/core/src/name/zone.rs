//! Name of an availability zone.

super::declare!(
    /// Names an availability zone.
    Zone, "availability zone"
);
