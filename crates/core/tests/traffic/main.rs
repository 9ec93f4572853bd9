//! Request steering on one entry host; each test replays a load pattern that a design decision answers.

mod accounts;
mod cold_targets;
mod common;
mod host_state;
mod placement;
mod queueing;
mod relays;
mod share_holders;
mod shared_quotas;
mod source_choice;
mod splits;
mod suspension;
mod target_limits;
mod unsent;
