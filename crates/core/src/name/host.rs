//! Name of an entry host.

super::declare!(
    /// Names an entry host.
    Host, "entry host"
);
