//! Name of an entry host.

super::declare!(
    /// Name of an entry host.
    Host, "entry host"
);
