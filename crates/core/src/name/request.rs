//! Name of a request, unique across all entry hosts.

super::declare!(
    /// Name of a request, unique across all entry hosts.
    Request, "request"
);
