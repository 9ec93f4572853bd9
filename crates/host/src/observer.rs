//! Watches a body that is passed on while it still arrives.

use super::download;
use super::upload;

/// What follows the bytes of a body that is passed on.
#[derive(Debug)]
pub(crate) enum Observer {
    /// A request body on its way to a target.
    Upload(upload::Upload),
    /// A response on its way to a caller.
    Download(download::Download),
}

impl Observer {
    /// Records that the receiver asked for bytes of the body, those that were held included.
    pub(crate) const fn record_begin(&mut self) {
        match self {
            Self::Upload(upload) => upload.record_begin(),
            Self::Download(_) => {}
        }
    }

    /// Records that the receiver had room for more; `is_waiting` tells that nothing had arrived.
    pub(crate) fn record_read(&mut self, is_waiting: bool) {
        match self {
            Self::Upload(_) => {}
            Self::Download(download) => download.record_read(is_waiting),
        }
    }

    /// Records that the body ends early.
    pub(crate) fn record_fault(&self, fault: upload::Fault) {
        match self {
            Self::Upload(upload) => upload.record_fault(fault),
            Self::Download(download) => download.record_cut(),
        }
    }
}
