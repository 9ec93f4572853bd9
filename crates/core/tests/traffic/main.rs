//! Steering on one entry host: each test replays the load pattern that a decision answers.

mod accounts;
mod cold;
mod common;
mod knowledge;
mod placement;
mod pools;
mod relays;
mod waiting;
