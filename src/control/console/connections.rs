//! The open connections of the console.

use std::collections::VecDeque;
use std::future::Future;

use tokio::task::{AbortHandle, JoinSet};

use super::MAX_CONNECTIONS;

/// The tasks that serve the open connections. Dropping it closes them all.
#[derive(Default)]
pub(super) struct Connections {
    tasks: JoinSet<()>,
    oldest_first: VecDeque<AbortHandle>,
}

impl Connections {
    /// Serves one more connection in a task of its own. Where there are [`MAX_CONNECTIONS`] already,
    /// the oldest is closed.
    pub(super) fn spawn(&mut self, serve: impl Future<Output = ()> + 'static) {
        self.forget_finished();
        if self.oldest_first.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                oldest.abort();
            }
        }
        self.oldest_first.push_back(self.tasks.spawn_local(serve));
    }

    /// Removes the connections whose calls have ended.
    fn forget_finished(&mut self) {
        self.oldest_first.retain(|task| !task.is_finished());
        while self.tasks.try_join_next().is_some() {}
    }
}
