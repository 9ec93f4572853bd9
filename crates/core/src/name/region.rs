//! Name of a region.

super::declare!(
    /// Name of a region.
    Region, "region"
);
