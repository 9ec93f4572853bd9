//! Records as operators write them, in schema 1.

mod account;
mod address;
mod document;
mod drain;
mod head;
mod key;
mod link;
mod objective;
mod policy;
mod region;
mod route;
mod service;
mod shift;
mod target;
mod text;

pub use account::Account;
pub use address::Address;
pub use document::Document;
pub use drain::{Drain, Subject};
pub use head::{Change, Head};
pub use key::{Key, State};
pub use link::Link;
pub use objective::Objective;
pub use policy::{Policy, Shortage};
pub use region::Region;
pub use route::{Access, Route};
pub use service::Service;
pub use shift::Shift;
pub use target::Target;
pub use text::{Fault, parse};
