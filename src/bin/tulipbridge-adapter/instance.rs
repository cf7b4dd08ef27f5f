//! One instance of the decision module: decodes its events and encodes its actions.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge::config::settings;
use tulipbridge::{
    Action, Event, KeyId, Nanos, NodeId, NodeInfo, Request, RequestId, RuntimeCommand, Scheduler,
    ShardId, VolumeId,
};

use crate::error::WireError;
use crate::json::{array, integer, names, optional_number, string};
use crate::request_registry::RequestRegistry;
use crate::vocabulary::{self, action, EventKind};

/// Value of `LiesIn` for a request that any shard may serve.
const ANY_SHARD: i64 = -1;

/// A scheduler, with the mapping between names on the wire and ids of the decision module.
pub struct Instance {
    index: i64,
    scheduler: Scheduler,
    classes: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    /// Names of the nodes, indexed by id. Names are never removed, since the wire may use a name
    /// again.
    nodes: Vec<String>,
    node_ids: HashMap<String, NodeId>,
    requests: RequestRegistry,
}

impl Instance {
    /// Starts an instance: `[event, instance, Nonce64, BootInfo]`.
    pub fn start(index: i64, now: Nanos, row: &[Value]) -> Result<Instance, WireError> {
        let seed = seed(row.get(2))?;
        let site = row.get(3).filter(|value| value.is_object());
        let site = site.ok_or(WireError::WrongKind {
            what: "'BootInfo'",
            expected: "an object",
        })?;
        let classes = names(site, "Services")?;
        let plans = names(site, "Grades")?;
        let zones = array(site, "FailureDomains")?.iter();
        let zones = zones.map(|zone| Ok(string(Some(zone), "zone")?.to_owned()));
        let zones = zones.collect::<Result<_, WireError>>()?;
        let scheduler =
            Scheduler::new(settings::read(site)?, seed, now).map_err(WireError::Settings)?;
        Ok(Instance {
            index,
            scheduler,
            classes,
            plans,
            zones,
            nodes: Vec::new(),
            node_ids: HashMap::new(),
            requests: RequestRegistry::default(),
        })
    }

    /// Passes an event to the scheduler and appends the resulting actions.
    pub fn process_event(
        &mut self,
        now: Nanos,
        kind: EventKind,
        row: &[Value],
        actions: &mut Vec<Value>,
    ) -> Result<(), WireError> {
        let Some(event) = self.decode(kind, row)? else {
            return Ok(());
        };
        let mut resulting = Vec::new();
        self.scheduler.handle(now, event, &mut resulting);
        for action in resulting {
            actions.extend(self.encode(action));
        }
        Ok(())
    }

    /// Decodes an event. Returns `None` if it concerns an unknown request or node, or does not
    /// concern the scheduler.
    fn decode(&mut self, kind: EventKind, row: &[Value]) -> Result<Option<Event>, WireError> {
        Ok(match kind {
            EventKind::Endpoints => Some(self.decode_endpoints(row)?),
            EventKind::Request => Some(Event::Request(self.decode_request(row)?)),
            EventKind::ClientDisconnected => {
                let id = self.request_id(row)?;
                id.map(|id| {
                    self.requests.finish(id);
                    Event::ClientDisconnected(id)
                })
            }
            EventKind::ResponseStarted => self.request_id(row)?.map(Event::ResponseStarted),
            EventKind::AttemptEnded => self.decode_attempt_ended(row)?,
            EventKind::Timer => Some(Event::Timer(integer(row.get(2), "Cookie")? as u64)),
            EventKind::Start | EventKind::Halt => None,
        })
    }

    /// Returns the id of the request that a row names, or `None` if it is not active.
    fn request_id(&self, row: &[Value]) -> Result<Option<RequestId>, WireError> {
        let name = string(row.get(2), "Ref")?;
        Ok(self.requests.id(name))
    }

    /// Decodes `[event, instance, Scope, generation, MembersList]`.
    fn decode_endpoints(&mut self, row: &[Value]) -> Result<Event, WireError> {
        let scope = vocabulary::update_scope(string(row.get(2), "Scope")?)?;
        let no_entries = Vec::new();
        let entries = match row.get(4).filter(|value| !value.is_null()) {
            None => &no_entries,
            Some(value) => value.as_array().ok_or(WireError::WrongKind {
                what: "'MembersList'",
                expected: "an array",
            })?,
        };
        let nodes = entries
            .iter()
            .map(|entry| self.decode_node(entry))
            .collect::<Result<_, _>>()?;
        Ok(Event::Endpoints { scope, nodes })
    }

    /// Decodes `[Target, zone, machine type, Cell, Health, weight, CameUp]`.
    fn decode_node(&mut self, entry: &Value) -> Result<NodeInfo, WireError> {
        let row = entry.as_array();
        let row = row.ok_or(WireError::WrongKind {
            what: "an entry of 'MembersList'",
            expected: "an array",
        })?;
        let node = self.node_id(string(row.first(), "Target")?);
        let zone = row.get(1).and_then(Value::as_str);
        // All unknown zones share the index after the last known zone.
        let zone = self
            .zones
            .iter()
            .position(|known| Some(known.as_str()) == zone);
        let zone = zone.unwrap_or(self.zones.len());
        let state = vocabulary::endpoint_state(string(row.get(4), "Health")?)?;
        let shard = u32::try_from(integer(row.get(3), "Cell")?).map(ShardId);
        let shard = shard.map_err(|_| WireError::OutOfRange { key: "Cell" })?;
        let started_at = optional_integer(row.get(6), "CameUp", 0)?;
        Ok(NodeInfo {
            node,
            zone: zone as u32,
            shard,
            state,
            started_at,
        })
    }

    /// Returns the id of a node, and assigns one when the node is first named.
    fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.node_ids.get(name) {
            return id;
        }
        let id = self.nodes.len();
        self.nodes.push(name.to_owned());
        self.node_ids.insert(name.to_owned(), NodeId(id));
        NodeId(id)
    }

    /// Decodes `[event, instance, Ref, Grade, Contract, key, PatienceLeft, volume, Weight,
    /// LiesIn, SetSize]`.
    fn decode_request(&mut self, row: &[Value]) -> Result<Request, WireError> {
        let name = string(row.get(2), "Ref")?;
        let class = index_of(&self.classes, string(row.get(3), "Grade")?, "Grade")?;
        let plan = index_of(&self.plans, string(row.get(4), "Contract")?, "Contract")?;
        let shard = optional_integer(row.get(9), "LiesIn", ANY_SHARD)?;
        let request = Request {
            id: self.requests.next_id(),
            class,
            plan,
            volume: VolumeId(row.get(7).and_then(Value::as_str).map_or(0, stable_hash)),
            key: row
                .get(5)
                .and_then(Value::as_str)
                .map(stable_hash)
                .map(KeyId),
            client_timeout: integer(row.get(6), "PatienceLeft")?,
            units: optional_number(row.get(8), "Weight")?,
            shard: u32::try_from(shard).ok().map(ShardId),
            front_count: optional_number(row.get(10), "SetSize")? as u32,
            continues_response: false,
        };
        self.requests.add(name);
        Ok(request)
    }

    /// Decodes `[event, instance, Ref, SendNo, Target, Disposition, Duration, last, SeenUse,
    /// ForeignUnits]`.
    fn decode_attempt_ended(&mut self, row: &[Value]) -> Result<Option<Event>, WireError> {
        let request = string(row.get(2), "Ref")?;
        let node = string(row.get(4), "Target")?;
        let outcome = vocabulary::outcome(string(row.get(5), "Disposition")?)?;
        let attempt = integer(row.get(3), "SendNo")? as u32;
        let took = integer(row.get(6), "Duration")?;
        let last = row.get(7).and_then(Value::as_bool).unwrap_or(false);
        let observed_use = optional_number(row.get(8), "SeenUse")?;
        let foreign_units = optional_number(row.get(9), "ForeignUnits")?;
        let (Some(id), Some(&node)) = (self.requests.id(request), self.node_ids.get(node)) else {
            return Ok(None);
        };
        self.requests.attempt_ended(id, last);
        Ok(Some(Event::AttemptEnded {
            id,
            attempt,
            node,
            outcome,
            took,
            is_answered: last,
            observed_use,
            foreign_units,
        }))
    }

    /// Encodes an action; returns `None` for an action that does not exist on the wire.
    fn encode(&mut self, action: Action) -> Option<Value> {
        let index = self.index;
        Some(match action {
            Action::Send { id, node, timeout } => {
                self.requests.attempt_sent(id);
                json!([
                    action::SEND,
                    index,
                    self.requests.name(id),
                    timeout,
                    self.nodes.get(node.0)
                ])
            }
            Action::Reject { id, retry_after } => {
                let name = self.finish(id);
                json!([action::REJECT, index, name, retry_after])
            }
            Action::Fail(id) => {
                let name = self.finish(id);
                json!([action::FAIL, index, name])
            }
            Action::Cancel { id, attempt } => {
                json!([action::CANCEL, index, self.requests.name(id), attempt])
            }
            Action::Runtime(command) => return self.encode_command(command),
        })
    }

    /// Encodes a command; returns `None` for a command that does not exist on the wire.
    fn encode_command(&self, command: RuntimeCommand) -> Option<Value> {
        let index = self.index;
        match command {
            RuntimeCommand::SetTimer { after, cookie } => {
                Some(json!([action::SET_TIMER, index, after, cookie]))
            }
            RuntimeCommand::Subscribe => Some(json!([action::SUBSCRIBE, index, true])),
            RuntimeCommand::Log { text, node } => {
                let target = self.nodes.get(node.0).map_or("", String::as_str);
                Some(json!([action::LOG, index, format!("{text} {target}")]))
            }
            RuntimeCommand::ForgetNode(_) => None,
        }
    }

    /// Marks a request as finished and returns its name.
    fn finish(&mut self, id: RequestId) -> Option<String> {
        let name = self.requests.name(id);
        self.requests.finish(id);
        name
    }
}

/// Decodes a 64-bit seed, which JSON may hold as a signed or an unsigned integer.
fn seed(value: Option<&Value>) -> Result<u64, WireError> {
    let value = value.ok_or(WireError::Missing { key: "Nonce64" })?;
    let seed = value
        .as_u64()
        .or_else(|| value.as_i64().map(|seed| seed as u64));
    seed.ok_or(WireError::WrongKind {
        what: "'Nonce64'",
        expected: "an integer",
    })
}

/// Decodes an integer; returns `default` if it is missing or null.
fn optional_integer(value: Option<&Value>, key: &str, default: i64) -> Result<i64, WireError> {
    match value.filter(|value| !value.is_null()) {
        None => Ok(default),
        Some(value) => Ok(integer(Some(value), key)?),
    }
}

/// Returns a hash of a text that is the same in every process.
fn stable_hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn index_of(names: &[String], name: &str, key: &'static str) -> Result<usize, WireError> {
    let index = names.iter().position(|known| known == name);
    index.ok_or_else(|| WireError::NotInSettings {
        key,
        name: name.to_owned(),
    })
}
