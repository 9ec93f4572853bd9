//! Name of a client account.

super::declare!(
    /// Names a client account.
    Account, "client account"
);
