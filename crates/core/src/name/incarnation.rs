//! Name of an incarnation: one run of a process on an entry host.

super::declare!(
    /// Name of one run of a process on an entry host, unique and never reused.
    Incarnation, "incarnation"
);
