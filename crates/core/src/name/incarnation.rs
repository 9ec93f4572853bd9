//! Name of one life of a process on an entry host, never used again.

super::declare!(
    /// Names one life of a process on an entry host, never used again.
    Incarnation, "incarnation"
);
