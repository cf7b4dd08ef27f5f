//! Follows discovery: calls it when [`DiscoveryWatch`] requires it, and passes the endpoint lists
//! of its messages on to the scheduler.
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

/// When a front first calls discovery.
#[derive(Clone, Copy, Debug)]
pub struct FirstCall {
    /// The longest time until then, in nanoseconds.
    pub max_delay: Nanos,
    /// This front's place, from 0 to 1, in the interval over which the fleet's calls are spread.
    pub phase: f64,
}

/// How far a front has followed discovery.
pub struct Discovery {
    reader: EndpointListReader,
    readiness: Readiness,
    /// The version of the endpoint list in use.
    generation: i64,
    /// The address whose versions [`Discovery::generation`] counts; until the first call none.
    list_source: Option<SocketAddr>,
}

impl Discovery {
    /// Nothing is followed yet.
    pub fn new(reader: EndpointListReader, readiness: Readiness) -> Discovery {
        Discovery {
            reader,
            readiness,
            generation: 0,
            list_source: None,
        }
    }

    /// Passes on the last known endpoint list, which may be old.
    ///
    /// # Errors
    /// The list is not in discovery's format.
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

    /// Follows discovery for as long as the program runs, at the address that the configuration has
    /// at any time.
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

    /// The version after which a watch at `address` is to report changes. Another instance of
    /// discovery may count versions differently: it is asked for everything, from version 0 on.
    fn generation_at(&mut self, address: SocketAddr) -> i64 {
        let list_source = *self.list_source.get_or_insert(address);
        if list_source == address {
            self.generation
        } else {
            0
        }
    }

    /// Compares the clock of discovery, where a response has its time, with that of this front.
    fn record_server_time(&mut self, watch: &OpenWatch, now: Nanos) {
        let since_epoch = watch
            .date()
            .and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(since_epoch) = since_epoch {
            self.reader
                .record_server_time(now, since_epoch.as_nanos() as Nanos);
        }
    }

    /// Handles a message of the watch. One that cannot be read is logged and otherwise ignored.
    fn receive(&mut self, received: WatchMessage, exchange: &Rc<Exchange<Upstream>>) {
        let now = exchange.now();
        let Message::Json(mut json) = received.message else {
            // Nothing has changed since the version that the watch was opened with.
            self.reader.confirmed(now);
            self.readiness.list_confirmed();
            return;
        };
        match self.read(&mut json, exchange, now) {
            Ok(update) => {
                self.reader.confirmed(now);
                self.generation = update.generation;
                self.list_source = Some(received.source);
                exchange.update_endpoints(update.scope, update.nodes);
                self.readiness.list_confirmed();
            }
            Err(error) => log!("discovery: message rejected: {error}"),
        }
    }

    /// Reads the endpoint list of a message that arrived at `now`, decoding it in place.
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
