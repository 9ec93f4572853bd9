//! Name of one request, unique over the fleet.

super::declare!(
    /// Names one request, unique over the fleet.
    Request, "request"
);
