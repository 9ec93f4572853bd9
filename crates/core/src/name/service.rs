//! Name of a service.

super::declare!(
    /// Name of a service.
    Service, "service"
);
