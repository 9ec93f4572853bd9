//! Name of a service.

super::declare!(
    /// Names a service.
    Service, "service"
);
