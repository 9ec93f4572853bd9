//! Name of a region.

super::declare!(
    /// Names a region.
    Region, "region"
);
