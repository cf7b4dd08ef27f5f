//! The set of open console connections, limited in size.

use std::collections::VecDeque;
use std::future::Future;

use tokio::task::{AbortHandle, JoinSet};

use super::MAX_CONNECTIONS;

/// The tasks that serve the open connections. Dropping this aborts them, which closes the
/// connections.
#[derive(Default)]
pub(super) struct Connections {
    tasks: JoinSet<()>,
    oldest_first: VecDeque<AbortHandle>,
}

impl Connections {
    /// Serves another connection in its own task. If [`MAX_CONNECTIONS`] are open already, the
    /// oldest is closed.
    pub(super) fn spawn(&mut self, serve: impl Future<Output = ()> + 'static) {
        self.remove_finished();
        if self.oldest_first.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                oldest.abort();
            }
        }
        self.oldest_first.push_back(self.tasks.spawn_local(serve));
    }

    /// Removes the connections whose tasks have finished.
    fn remove_finished(&mut self) {
        self.oldest_first.retain(|task| !task.is_finished());
        while self.tasks.try_join_next().is_some() {}
    }
}
