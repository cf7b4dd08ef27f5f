//! Tracks the uploads that are being completed through this front, so that none is completed
//! twice.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use super::error::ApiError;

/// The uploads whose completion is in flight, or may still be executed by a chunk server.
#[derive(Default)]
pub(super) struct PendingCompletions {
    /// When the claim to each completion expires, by the upload id that clients use.
    claimed_until: RefCell<HashMap<String, Instant>>,
}

impl PendingCompletions {
    /// Claims the completion of an upload until `until`.
    ///
    /// # Errors
    /// [`ApiError::SlowDown`] if another completion through this front may still be executed.
    pub(super) fn claim(
        &self,
        upload_id: &str,
        until: Instant,
    ) -> Result<CompletionClaim<'_>, ApiError> {
        let now = Instant::now();
        let mut claimed = self.claimed_until.borrow_mut();
        claimed.retain(|_, until| *until > now);
        if let Some(until) = claimed.get(upload_id) {
            return Err(ApiError::SlowDown(*until - now));
        }
        claimed.insert(upload_id.to_owned(), until);
        Ok(CompletionClaim {
            pending: self,
            upload_id: upload_id.to_owned(),
        })
    }
}

/// The exclusive claim to the completion of one upload. Dropping it does not end the claim before
/// it expires, since the attempt continues when the client disconnects; only [`release`] does.
///
/// [`release`]: CompletionClaim::release
pub(super) struct CompletionClaim<'a> {
    pending: &'a PendingCompletions,
    upload_id: String,
}

impl CompletionClaim<'_> {
    /// Ends the claim before it expires, when no attempt can be executed any more.
    pub(super) fn release(self) {
        let mut claimed = self.pending.claimed_until.borrow_mut();
        claimed.remove(&self.upload_id);
    }
}
