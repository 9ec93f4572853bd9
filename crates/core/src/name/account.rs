//! Name of a client account.

super::declare!(
    /// Name of a client account.
    Account, "client account"
);
