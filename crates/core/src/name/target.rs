//! Name of a target.

super::declare!(
    /// Names a target.
    Target, "target"
);
