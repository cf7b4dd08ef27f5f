//! One line of the wire in, one line out.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge::config::settings::{int, list, names, opt_num, settings, text, Res};
use tulipbridge::*;

/// All instances that this process hosts.
#[derive(Default)]
pub struct Link {
    instances: BTreeMap<i64, Instance>,
}

/// A request that the instance knows, until it is finished and nothing is out for it.
struct Live {
    name: String,
    out: u32,
    finished: bool,
}

struct Instance {
    scheduler: Scheduler,
    classes: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    nodes: Vec<String>,
    node_ids: HashMap<String, NodeId>,
    request_ids: HashMap<String, RequestId>,
    live: HashMap<RequestId, Live>,
    next: RequestId,
}

impl Link {
    /// Answers one batch.
    pub fn batch(&mut self, line: &mut [u8]) -> Res<String> {
        let value: Value = simd_json::to_owned_value(line).map_err(|e| format!("not JSON: {e}"))?;
        let batch = value.as_object().ok_or("a batch must be an object")?;
        let now = int(batch.get("Moment"), "Moment")?;
        let events = batch.get("events").and_then(Value::as_array).ok_or("'events' must be an array")?;
        let mut reply = Vec::new();
        for event in events {
            let row = event.as_array().ok_or("an event must be an array")?;
            let name = text(row.first(), "event name")?;
            self.event(now, name, row, &mut reply).map_err(|e| format!("{name}: {e}"))?;
        }
        Ok(format!("{}\n", json!({ "do": reply }).encode()))
    }

    fn event(&mut self, now: Nanos, name: &str, row: &[Value], reply: &mut Vec<Value>) -> Res<()> {
        let index = int(row.get(1), "instance")?;
        if name == "Start" {
            self.instances.insert(index, Instance::start(now, row)?);
            return Ok(());
        }
        let known = self.instances.get_mut(&index);
        let instance = known.ok_or_else(|| format!("instance {index} is not known"))?;
        if name == "Halt" {
            self.instances.remove(&index);
            return Ok(());
        }
        if let Some(event) = instance.read(name, row)? {
            let mut actions = Vec::new();
            instance.scheduler.handle(now, event, &mut actions);
            for action in actions {
                reply.extend(instance.write(index, action));
            }
        }
        Ok(())
    }
}

impl Instance {
    fn start(now: Nanos, row: &[Value]) -> Res<Instance> {
        let seed = row.get(2).ok_or("'Nonce64' is missing")?;
        let seed = seed
            .as_u64()
            .or_else(|| seed.as_i64().map(|s| s as u64))
            .ok_or("'Nonce64' must be an integer")?;
        let boot = row.get(3).filter(|b| b.is_object()).ok_or("'BootInfo' must be an object")?;
        let (classes, plans) = (names(boot, "Services")?, names(boot, "Grades")?);
        let zones = list(boot, "FailureDomains")?;
        let zones = zones.iter().map(|z| text(Some(z), "zone").map(str::to_owned)).collect::<Res<_>>()?;
        let scheduler = Scheduler::new(settings(boot)?, seed, now).map_err(|e| e.to_string())?;
        Ok(Instance {
            scheduler,
            classes,
            plans,
            zones,
            nodes: Vec::new(),
            node_ids: HashMap::new(),
            request_ids: HashMap::new(),
            live: HashMap::new(),
            next: 0,
        })
    }

    fn read(&mut self, name: &str, row: &[Value]) -> Res<Option<Event>> {
        Ok(match name {
            "Fleet" => Some(self.fleet(row)?),
            "Knock" => Some(Event::Request(self.request(row)?)),
            "Dropped" => self.request_ids.get(text(row.get(2), "Ref")?).copied().map(|id| {
                self.finish(id);
                Event::ClientGone(id)
            }),
            "First" => self.request_ids.get(text(row.get(2), "Ref")?).copied().map(Event::ResponseStarted),
            "Result" => self.result(row)?,
            "TimeoutFired" => Some(Event::Timer(int(row.get(2), "Cookie")? as u64)),
            _ => None,
        })
    }

    fn fleet(&mut self, row: &[Value]) -> Res<Event> {
        let scope = match text(row.get(2), "Scope")? {
            "update" => UpdateScope::Update,
            "replace" => UpdateScope::Replace,
            "restored" => UpdateScope::Restored,
            "unavailable" => UpdateScope::Unavailable,
            other => return Err(format!("'Scope' {other} is not known")),
        };
        let empty = Vec::new();
        let entries = match row.get(4) {
            None => &empty,
            Some(v) if v.is_null() => &empty,
            Some(v) => v.as_array().ok_or("'MembersList' must be an array")?,
        };
        let nodes = entries.iter().map(|e| self.entry(e)).collect::<Res<Vec<_>>>()?;
        Ok(Event::Endpoints { scope, nodes })
    }

    fn entry(&mut self, entry: &Value) -> Res<NodeInfo> {
        let row = entry.as_array().ok_or("an entry of 'MembersList' must be an array")?;
        let name = text(row.first(), "Target")?;
        let node = match self.node_ids.get(name) {
            Some(&id) => id,
            None => {
                self.nodes.push(name.to_owned());
                self.node_ids.insert(name.to_owned(), self.nodes.len() - 1);
                self.nodes.len() - 1
            }
        };
        let zone = row.get(1).and_then(Value::as_str);
        let zone = self.zones.iter().position(|z| Some(z.as_str()) == zone).unwrap_or(self.zones.len());
        let listed = match text(row.get(4), "Health")? {
            "up" => Listed::Up,
            "draining" => Listed::Draining,
            "removed" => Listed::Removed,
            other => return Err(format!("'Health' {other} is not known")),
        };
        let cell = int(row.get(3), "Cell")?;
        let cell = CellId::try_from(cell).map_err(|_| "'Cell' is out of range")?;
        let came_up = row.get(6).filter(|v| !v.is_null()).map_or(Ok(0), |v| int(Some(v), "CameUp"))?;
        Ok(NodeInfo { node, zone: zone as u32, cell, listed, started_at: came_up })
    }

    fn request(&mut self, row: &[Value]) -> Res<Request> {
        let name = text(row.get(2), "Ref")?;
        let class = place(&self.classes, text(row.get(3), "Grade")?, "Grade")?;
        let plan = place(&self.plans, text(row.get(4), "Contract")?, "Contract")?;
        let lies_in = row.get(9).filter(|v| !v.is_null()).map_or(Ok(-1), |v| int(Some(v), "LiesIn"))?;
        let request = Request {
            id: self.next,
            class,
            plan,
            volume: row.get(7).and_then(Value::as_str).map_or(0, number),
            key: row.get(5).and_then(Value::as_str).map(number),
            patience: int(row.get(6), "PatienceLeft")?,
            units: opt_num(row.get(8), "Weight")?,
            cell: CellId::try_from(lies_in).ok(),
            front_count: opt_num(row.get(10), "SetSize")? as u32,
        };
        self.request_ids.insert(name.to_owned(), self.next);
        self.live.insert(self.next, Live { name: name.to_owned(), out: 0, finished: false });
        self.next += 1;
        Ok(request)
    }

    fn result(&mut self, row: &[Value]) -> Res<Option<Event>> {
        let name = text(row.get(2), "Ref")?;
        let node = text(row.get(4), "Target")?;
        let outcome = match text(row.get(5), "Disposition")? {
            "done" => Outcome::Served,
            "err" => Outcome::Error,
            "busy" => Outcome::Rejected,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::NotExecuted,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::NotSent,
            other => return Err(format!("'Disposition' {other} is not known")),
        };
        let attempt = int(row.get(3), "SendNo")? as u32;
        let took = int(row.get(6), "Duration")?;
        let last = row.get(7).and_then(Value::as_bool).unwrap_or(false);
        let seen_use = opt_num(row.get(8), "SeenUse")?;
        let foreign_units = opt_num(row.get(9), "ForeignUnits")?;
        let (Some(&id), Some(&node)) = (self.request_ids.get(name), self.node_ids.get(node)) else {
            return Ok(None);
        };
        if let Some(live) = self.live.get_mut(&id) {
            live.out = live.out.saturating_sub(1);
            live.finished |= last;
        }
        self.forget(id);
        Ok(Some(Event::AttemptEnded { id, attempt, node, outcome, took, last, seen_use, foreign_units }))
    }

    fn finish(&mut self, id: RequestId) {
        if let Some(live) = self.live.get_mut(&id) {
            live.finished = true;
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.finished && l.out == 0) {
            if let Some(live) = self.live.remove(&id) {
                self.request_ids.remove(&live.name);
            }
        }
    }

    fn write(&mut self, index: i64, action: Action) -> Option<Value> {
        Some(match action {
            Action::Send { id, node, timeout: patience } => {
                let live = self.live.get_mut(&id);
                let name = live.map(|l| {
                    l.out += 1;
                    l.name.clone()
                });
                json!(["Place", index, name, patience, self.nodes.get(node)])
            }
            Action::Reject { id, retry_after: wait } => {
                let name = self.live.get(&id).map(|l| l.name.clone());
                self.finish(id);
                json!(["SayNo", index, name, wait])
            }
            Action::Fail(id) => {
                let name = self.live.get(&id).map(|l| l.name.clone());
                self.finish(id);
                json!(["Fail", index, name])
            }
            Action::Cancel { id, attempt } => {
                let name = self.live.get(&id).map(|l| l.name.clone());
                json!(["StopAttempt", index, name, attempt])
            }
            Action::SetTimer { after, cookie } => json!(["Sleep", index, after, cookie]),
            Action::Subscribe => json!(["KeepInformed", index, true]),
            Action::Log { text, node } => {
                let target = self.nodes.get(node).map_or("", String::as_str);
                json!(["NoteDown", index, format!("{text} {target}")])
            }
            // A name keeps its number here, as the wire may name it again.
            Action::ForgetNode(_) => return None,
        })
    }
}

/// A text as an opaque number, the same in every process.
fn number(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn place(names: &[String], name: &str, what: &str) -> Res<usize> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("'{what}' {name} is not in the settings"))
}
