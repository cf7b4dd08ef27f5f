//! Follows discovery: calls it when [`DiscoveryWatch`] requires it, and passes the endpoint lists
//! that it sends on to the scheduler.
//!
//! [`DiscoveryWatch`]: tulipbridge_core::discovery_watch::DiscoveryWatch

mod connection;
mod error;
mod follower;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::UNIX_EPOCH;

use simd_json::OwnedValue as Value;
use tokio::sync::watch;
use tulipbridge_core::{Nanos, UpdateScope};

use crate::control::discovery::connection::{OpenWatch, WatchMessage};
use crate::control::discovery::error::DiscoveryError;
use crate::control::discovery::follower::Follower;
use crate::control::endpoint_list::{EndpointListReader, EndpointUpdate};
use crate::control::json_object::JsonObjectError;
use crate::control::json_stream::Message;
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// When a front makes its first call to discovery: `phase` times `max_delay` after its start.
#[derive(Clone, Copy, Debug)]
pub struct FirstCall {
    /// The upper limit of the delay, in nanoseconds.
    pub max_delay: Nanos,
    /// This front's position, from 0 to 1, in the interval over which the fleet's calls are spread.
    pub phase: f64,
}

/// The state of a front with respect to discovery: the version of the endpoint list in use and
/// where it came from.
pub struct Discovery {
    reader: EndpointListReader,
    readiness: Readiness,
    /// The version of the endpoint list in use.
    generation: i64,
    /// The address of the discovery instance that numbered [`Discovery::generation`]; `None` until
    /// the first call.
    list_source: Option<SocketAddr>,
}

impl Discovery {
    /// Creates the state before any list is known, at version 0.
    pub fn new(reader: EndpointListReader, readiness: Readiness) -> Discovery {
        Discovery {
            reader,
            readiness,
            generation: 0,
            list_source: None,
        }
    }

    /// Passes the last known endpoint list, which may be out of date, to the scheduler.
    ///
    /// # Errors
    /// Fails if the list is not in discovery's format.
    pub fn restore(
        &mut self,
        known: &Value,
        exchange: &Rc<Exchange<Upstream>>,
    ) -> Result<(), JsonObjectError> {
        let update = self
            .reader
            .read(known.clone(), exchange.transport(), exchange.now())?;
        self.generation = update.generation;
        exchange.update_endpoints(UpdateScope::Restored, update.nodes);
        Ok(())
    }

    /// Follows discovery until the program ends, at the currently configured address.
    pub async fn follow(
        self,
        first_call: FirstCall,
        address: watch::Receiver<Option<SocketAddr>>,
        exchange: Rc<Exchange<Upstream>>,
    ) {
        Follower::new(self, first_call, address, exchange)
            .run()
            .await;
    }

    /// Returns the version after which a watch at `address` should report changes. Another instance
    /// of discovery may number versions differently, so it is asked for everything after version 0.
    fn generation_at(&mut self, address: SocketAddr) -> i64 {
        let list_source = *self.list_source.get_or_insert(address);
        if list_source == address {
            self.generation
        } else {
            0
        }
    }

    /// Passes discovery's time, if the response has it, to the reader, which compares it with the
    /// clock of this front.
    fn record_server_time(&mut self, watch: &OpenWatch, now: Nanos) {
        let since_epoch = watch
            .date()
            .and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(since_epoch) = since_epoch {
            self.reader
                .record_server_time(now, since_epoch.as_nanos() as Nanos);
        }
    }

    /// Handles a message of the watch. An invalid one is logged and otherwise ignored.
    fn receive(&mut self, received: WatchMessage, exchange: &Rc<Exchange<Upstream>>) {
        let now = exchange.now();
        let Message::Json(mut json) = received.message else {
            // A keep-alive: nothing has changed since the version that the watch was opened with.
            self.reader.list_confirmed(now);
            self.readiness.list_confirmed();
            return;
        };
        match self.read(&mut json, exchange, now) {
            Ok(update) => {
                self.reader.list_confirmed(now);
                self.generation = update.generation;
                self.list_source = Some(received.source);
                exchange.update_endpoints(update.scope, update.nodes);
                self.readiness.list_confirmed();
            }
            Err(error) => log!("discovery: message rejected: {error}"),
        }
    }

    /// Reads the endpoint list of a message that arrived at `now`. The parser overwrites `json`.
    fn read(
        &mut self,
        json: &mut [u8],
        exchange: &Exchange<Upstream>,
        now: Nanos,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let value = simd_json::to_owned_value(json).map_err(DiscoveryError::Syntax)?;
        Ok(self.reader.read(value, exchange.transport(), now)?)
    }
}
