//! Runs routers behind a protocol of JSON lines: reads a batch of events from each line, and writes a reply for it.
//!
//! This program only translates; all decisions are the library's.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use dunemount::settings::{Ms, SettingsDocument, SiteSettings, Zones};
use dunemount::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dunemount-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each line until the input ends.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    for (index, line) in input.lines().enumerate() {
        let location = format!("line {}", index + 1);
        let line = line.map_err(|e| format!("{location}: cannot read: {e}"))?;
        let batch = serde_json::from_str(&line).map_err(|e| format!("{location}: {e}"))?;
        let reply = adapter.handle_batch(batch).map_err(|e| format!("{location}: {e}"))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("{location}: cannot write: {e}"))?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
            .map_err(|e| format!("{location}: cannot write: {e}"))?;
    }
    Ok(())
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Batch {
    moment_ms: Ms,
    #[serde(rename = "news")]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
#[serde(rename_all_fields = "PascalCase")]
enum WireEvent {
    Launch {
        who: u64,
        salt: u64,
        params: Box<SettingsDocument>,
    },
    Halt {
        who: u64,
    },
    Manifest {
        table: u64,
        nodes_list: Vec<Node>,
    },
    Update {
        who: u64,
        kind: UpdateKind,
        #[serde(default)]
        table: u64,
    },
    Req(Req),
    Established {
        who: u64,
        id: String,
    },
    Outcome(WireOutcome),
    Gone {
        who: u64,
        id: String,
    },
    Elapsed {
        who: u64,
        nonce: u64,
    },
    Pong {
        who: u64,
        member: u64,
        disposition: Disposition,
        telemetry: Option<Telemetry>,
    },
    NeighbourSays {
        who: u64,
        from: u64,
        raw: String,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum UpdateKind {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Req {
    who: u64,
    id: String,
    priority: String,
    last_write_ms: Option<Ms>,
    key: Option<u64>,
    #[serde(default)]
    again_by_client: bool,
    team: Option<Value>,
    #[serde(default)]
    cluster: u64,
    time_left_ms: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireOutcome {
    who: u64,
    id: String,
    copy: u32,
    member: u64,
    disposition: Disposition,
    #[serde(default)]
    spent_ms: Ms,
    #[serde(default)]
    terminal: bool,
    #[serde(default)]
    progress: u64,
    telemetry: Option<Telemetry>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Disposition {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
    NotStored,
}

impl From<Disposition> for AttemptStatus {
    fn from(disposition: Disposition) -> AttemptStatus {
        match disposition {
            Disposition::Served => AttemptStatus::Ok,
            Disposition::ServerError => AttemptStatus::Error,
            Disposition::TurnedAway => AttemptStatus::Rejected,
            Disposition::NoAnswer => AttemptStatus::Timeout,
            Disposition::NoConnection => AttemptStatus::ConnectFailed,
            Disposition::ConnectionLost => AttemptStatus::Reset,
            Disposition::CalledOff => AttemptStatus::Cancelled,
            Disposition::NotSent => AttemptStatus::NotSent,
            Disposition::NotStored => AttemptStatus::Unsuitable,
        }
    }
}

#[derive(Deserialize)]
struct Telemetry {
    x0: Option<f64>,
    x1: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    #[serde(default)]
    writer: f64,
    member: u64,
    #[serde(default)]
    rack_zone: String,
    #[serde(default)]
    shard: u64,
    health: Health,
    heft: Option<f64>,
    launched_ms: Option<Ms>,
}

#[derive(Clone, Copy, Deserialize)]
enum Health {
    Ready,
    Terminating,
    Gone,
}

#[derive(Serialize)]
struct Reply {
    outbox: Vec<WireAction>,
}

#[derive(Serialize)]
#[serde(rename_all_fields = "PascalCase")]
enum WireAction {
    PassOn { who: u64, id: String, member: u64, allow_for_ms: Option<Ms> },
    Withdraw { who: u64, id: String, copy: u32 },
    Busy { who: u64, id: String, wait_ms: Option<Ms> },
    FinishError { who: u64, id: String },
    SetAlarm { who: u64, nonce: u64, time_ms: Ms },
    Poll { who: u64, member: u64 },
    CloseIdle { who: u64, member: u64 },
    Watch { who: u64, enable: bool },
    BroadcastTo { who: u64, recipient: &'static str, raw: String },
    NoteDown { who: u64, body_text: String },
}

/// A router and its settings.
struct Instance {
    router: Router,
    site: SiteSettings,
}

/// All instances of this process, and the state that they share.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Endpoint>>,
    zones: Zones,
}

impl Adapter {
    fn handle_batch(&mut self, batch: Batch) -> Result<Reply, String> {
        let now = batch.moment_ms.into();
        let mut outbox = Vec::new();
        let mut actions = Vec::new();
        for (index, event) in batch.events.into_iter().enumerate() {
            let in_event = |e: String| format!("event {}: {e}", index + 1);
            if let Some((who, event)) = self.translate(now, event).map_err(in_event)? {
                self.instance(who).map_err(in_event)?.router.handle(now, event, &mut actions);
                outbox.extend(actions.drain(..).map(|action| wire_action(who, action)));
            }
        }
        Ok(Reply { outbox })
    }

    fn instance(&mut self, who: u64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&who).ok_or_else(|| format!("Who: instance {who} is not running"))
    }

    /// Translates an event of the protocol. Returns the instance and its event, or none if the event is not for a
    /// router.
    fn translate(&mut self, now: Micros, event: WireEvent) -> Result<Option<(u64, Event)>, String> {
        Ok(Some(match event {
            WireEvent::Launch { who, salt, params } => {
                let site = params.into_site_settings(&mut self.zones).map_err(|error| error.to_string())?;
                let router = Router::new(site.router.clone(), salt);
                self.instances.insert(who, Instance { router, site });
                return Ok(None);
            }
            WireEvent::Halt { who } => {
                self.instances.remove(&who);
                return Ok(None);
            }
            WireEvent::Manifest { table, nodes_list } => {
                let endpoints = nodes_list.into_iter().map(|node| self.endpoint(node)).collect();
                self.lists.insert(table, endpoints);
                return Ok(None);
            }
            WireEvent::Update { who, kind, table } => {
                let update = match kind {
                    UpdateKind::Delta => EndpointUpdate::Incremental,
                    UpdateKind::Full | UpdateKind::Cached => EndpointUpdate::Full,
                    UpdateKind::Failed => EndpointUpdate::Failed,
                };
                let endpoints = match update {
                    EndpointUpdate::Failed => Vec::new(),
                    EndpointUpdate::Incremental | EndpointUpdate::Full => {
                        let list = self.lists.get(&table);
                        list.cloned().ok_or_else(|| format!("Table: no list has number {table}"))?
                    }
                };
                (who, Event::Endpoints { update, endpoints })
            }
            WireEvent::Req(req) => (req.who, Event::Request(self.request(now, req)?)),
            WireEvent::Established { who, id } => (who, Event::Started { request: request_id(&id)? }),
            WireEvent::Outcome(outcome) => (outcome.who, Event::Outcome(self.outcome(outcome)?)),
            WireEvent::Gone { who, id } => (who, Event::ClientLeft(request_id(&id)?)),
            WireEvent::Elapsed { who, nonce } => (who, Event::Timer(TimerId(nonce))),
            WireEvent::Pong { who, member, disposition, telemetry } => {
                let report = report(telemetry, self.instance(who)?.site.positions_from);
                (who, Event::HealthChecked { member: MemberId(member), status: disposition.into(), report })
            }
            WireEvent::NeighbourSays { who, from, raw } => {
                (who, Event::Peer { from: PeerId(from), text: raw })
            }
        }))
    }

    fn endpoint(&mut self, node: Node) -> Endpoint {
        Endpoint {
            member: MemberId(node.member),
            group: GroupId(node.shard),
            zone: self.zones.id(node.rack_zone),
            state: match node.health {
                Health::Ready => EndpointState::Ready,
                Health::Terminating => EndpointState::Draining,
                Health::Gone => EndpointState::Removed,
            },
            weight: node.heft.unwrap_or(1.0),
            started: node.launched_ms.unwrap_or_default().into(),
            primary: node.writer == 1.0,
        }
    }

    fn request(&mut self, now: Micros, req: Req) -> Result<Request, String> {
        let instance = self.instance(req.who)?;
        let class = instance.site.class_names.iter().position(|name| *name == req.priority);
        let class = class.ok_or_else(|| format!("Priority: unknown class {:?}", req.priority))?;
        let tenant = match req.team {
            Some(Value::String(name)) => {
                let tenant = instance.site.tenant_names.iter().position(|known| *known == name);
                Some(TenantId(tenant.ok_or_else(|| format!("Team: unknown tenant {name:?}"))?))
            }
            Some(_) | None => None,
        };
        Ok(Request {
            id: request_id(&req.id)?,
            class: ClassId(class),
            group: GroupId(req.cluster),
            session: req.key.map(SessionKey),
            committed: req.last_write_ms.filter(|age| age.0 != 0.0).map(|age| now - Micros::from(age)),
            tenant,
            repeat: req.again_by_client,
            time_left: req.time_left_ms.into(),
        })
    }

    fn outcome(&mut self, outcome: WireOutcome) -> Result<Outcome, String> {
        let counted_from = self.instance(outcome.who)?.site.positions_from;
        let position = outcome.progress / 4;
        Ok(Outcome {
            request: request_id(&outcome.id)?,
            attempt: AttemptNo(outcome.copy),
            member: MemberId(outcome.member),
            status: outcome.disposition.into(),
            latency: outcome.spent_ms.into(),
            finished: outcome.terminal,
            role: match outcome.progress % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: (position > 0).then(|| counted_from + Micros(position.saturating_mul(1000))),
            report: report(outcome.telemetry, counted_from),
        })
    }
}

fn request_id(text: &str) -> Result<RequestId, String> {
    u64::from_str_radix(text, 16).map(RequestId).map_err(|e| format!("Id: {text:?} is not a request id: {e}"))
}

fn report(telemetry: Option<Telemetry>, counted_from: Micros) -> HealthReport {
    let Some(telemetry) = telemetry else { return HealthReport::default() };
    HealthReport {
        position: telemetry.x0.map(|s| counted_from + Micros((s * 1e6).floor().max(0.0) as u64)),
        role: telemetry.x1.map(|x| if x == 1.0 { Role::Primary } else { Role::Replica }),
    }
}

fn wire_action(who: u64, action: Action) -> WireAction {
    let hex = |id: RequestId| format!("{:016x}", id.0);
    match action {
        Action::Send { request, member, timeout } => WireAction::PassOn {
            who,
            id: hex(request),
            member: member.0,
            allow_for_ms: timeout.map(Ms::from),
        },
        Action::Cancel { request, attempt } => {
            WireAction::Withdraw { who, id: hex(request), copy: attempt.0 }
        }
        Action::Reject { request, retry_after } => {
            WireAction::Busy { who, id: hex(request), wait_ms: retry_after.map(Ms::from) }
        }
        Action::Fail { request } => WireAction::FinishError { who, id: hex(request) },
        Action::HealthCheck { member } => WireAction::Poll { who, member: member.0 },
        Action::CloseIdle { member } => WireAction::CloseIdle { who, member: member.0 },
        Action::SetTimer { timer, at } => WireAction::SetAlarm { who, nonce: timer.0, time_ms: at.into() },
        Action::Watch => WireAction::Watch { who, enable: true },
        Action::Gossip { text } => WireAction::BroadcastTo { who, recipient: "all", raw: text },
        Action::Notice(notice) => WireAction::NoteDown { who, body_text: format!("{notice:?}") },
    }
}
