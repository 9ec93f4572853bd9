//! A token of a client account's limit.

use std::net;
use std::sync;

use skylark_core::name;
use skylark_core::traffic;

use super::message;
use super::reports;
use super::state;

/// A token of a client account's limit; returned when it is dropped without being spent.
#[derive(Debug)]
pub(crate) struct Charge {
    state: sync::Arc<state::State>,
    source: Source,
    is_spent: bool,
}

/// Where a token comes from.
#[derive(Debug)]
enum Source {
    /// This host's share of the account's limit.
    Own(name::Account),
    /// The host with this control address, for the account with this digest.
    Holder(net::SocketAddr, u32),
}

impl Charge {
    /// Takes over a token of this host's share.
    pub(crate) fn new(state: &sync::Arc<state::State>, account: &name::Account) -> Self {
        Self::from_source(state, Source::Own(account.clone()))
    }

    /// Takes over a token that the host with a control address granted, for the account with a digest.
    pub(crate) fn granted(
        state: &sync::Arc<state::State>,
        holder: net::SocketAddr,
        account: u32,
    ) -> Self {
        Self::from_source(state, Source::Holder(holder, account))
    }

    fn from_source(state: &sync::Arc<state::State>, source: Source) -> Self {
        Self {
            state: sync::Arc::clone(state),
            source,
            is_spent: false,
        }
    }

    /// Sets whether the request of the token may have run.
    pub(crate) const fn set_spent(&mut self, is_spent: bool) {
        self.is_spent = is_spent;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        let (holder, account) = match &self.source {
            Source::Own(account) => {
                let mut cluster = self.state.cluster();
                let holder = cluster.dispatcher_mut().quotas_mut().refund(account);
                (holder, traffic::digest(account.as_str()))
            }
            Source::Holder(holder, account) => (Some(*holder), *account),
        };
        if let Some(holder) = holder {
            let message = message::Message::TokenReturn { account };
            reports::send_now(&self.state, &message, holder);
        }
    }
}
