//! Name of a target.

super::declare!(
    /// Name of a target.
    Target, "target"
);
