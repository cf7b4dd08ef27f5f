//! The object API's front: objects with ranges and multipart uploads over HTTP, on the same exchange and so under the
//! same decisions as the platform's front. It speaks the same API to the chunk servers.
//!
//! Fronts share no state about objects, so every id that a client gives back holds the shard: a version id is
//! `SHARD.VERSION` and an upload id `SHARD.TOKEN.UPLOAD`, with the chunk server's own id at the end.

mod answer;
mod config;
mod delete;
mod error;
mod front;
mod get;
mod multipart;
mod node_request;
pub mod range;
mod replies;
mod request;
mod xml;

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

use crate::cluster::peers::Peers;
use crate::config::settings::Res;
use crate::front::{assemble, on_one_thread, shutdown_signal, watch_discovery_address};
use crate::frontend::listener::{listen, Listener};

pub use config::{Bucket, Config};
pub use front::ObjectFront;

/// Runs an object front as its file says, on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// A plain sentence on a configuration that cannot hold.
pub fn run(file: &Path) -> Res<()> {
    let config = Config::from_file(file)?;
    on_one_thread(async move {
        let shutdown = shutdown_signal()?;
        let file = file.to_owned();
        let peers: Rc<RefCell<Option<Rc<Peers>>>> = Rc::default();
        let joined = Rc::clone(&peers);
        let moved = watch_discovery_address(config.base.discovery, move || {
            let base = Config::from_file(&file)?.base;
            if let Some(joined) = &*joined.borrow() {
                joined.check(base.peers.as_ref()).map_err(|e| e.to_string())?;
                base.peers.into_iter().for_each(|told| joined.reload(told));
            }
            Ok(base.discovery)
        })?;
        config.base.settings.check().map_err(|e| e.to_string())?;
        let listener = listen(config.base.listen).await?;
        let parts = assemble(&config.base, moved)?;
        peers.borrow_mut().clone_from(&parts.peers);
        let front = ObjectFront::new(parts.exchange, config);
        Listener::new(front, parts.max_clients, parts.listener_state).serve(listener, shutdown).await;
        parts.peers.iter().for_each(|peers| peers.shut_down());
        Ok(())
    })
}
