//! The instances of this process, and the processing of batches of events for them.

use std::collections::BTreeMap;

use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge::Nanos;

use crate::error::WireError;
use crate::instance::Instance;
use crate::json::{integer, string};
use crate::vocabulary::{event_kind, EventKind};

/// The instances that this process hosts, by their index.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<i64, Instance>,
}

impl Session {
    /// Processes a batch of events. Returns the line with the resulting actions.
    pub fn process_batch(&mut self, line: &mut [u8]) -> Result<String, WireError> {
        let value: Value = simd_json::to_owned_value(line).map_err(WireError::Syntax)?;
        let batch = value.as_object();
        let batch = batch.ok_or(WireError::WrongKind {
            what: "a batch",
            expected: "an object",
        })?;
        let now = integer(batch.get("Moment"), "Moment")?;
        let events = batch.get("events").and_then(Value::as_array);
        let events = events.ok_or(WireError::WrongKind {
            what: "'events'",
            expected: "an array",
        })?;
        let mut actions = Vec::new();
        for event in events {
            let row = event.as_array();
            let row = row.ok_or(WireError::WrongKind {
                what: "an event",
                expected: "an array",
            })?;
            let name = string(row.first(), "event name")?;
            let processed = self.process_event(now, name, row, &mut actions);
            processed.map_err(|source| WireError::Event {
                name: name.to_owned(),
                source: Box::new(source),
            })?;
        }
        Ok(format!("{}\n", json!({ "do": actions }).encode()))
    }

    /// Processes an event and appends the resulting actions.
    fn process_event(
        &mut self,
        now: Nanos,
        name: &str,
        row: &[Value],
        actions: &mut Vec<Value>,
    ) -> Result<(), WireError> {
        let index = integer(row.get(1), "instance")?;
        let kind = event_kind(name);
        if kind == Some(EventKind::Start) {
            self.instances
                .insert(index, Instance::start(index, now, row)?);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&index)
            .ok_or(WireError::UnknownInstance { index })?;
        match kind {
            Some(EventKind::Halt) => {
                self.instances.remove(&index);
                Ok(())
            }
            Some(kind) => instance.process_event(now, kind, row, actions),
            None => Ok(()),
        }
    }
}
