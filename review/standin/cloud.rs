//! The platform's list of machines and its upkeep, as `PROTOCOL.md` says: fencing tokens are checked for
//! each machine by itself.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{executor::Executor, http::Server, json::Json, record::Recorder};

/// `maintenance_s`.
const UPKEEP: Duration = Duration::from_secs(2);

pub struct Machine {
    pub executor: Arc<Executor>,
    fence: u64,
    lives: u32,
    down_until: Option<Instant>,
    /// Waves of which this machine has begun its upkeep.
    waves: Vec<u64>,
}

/// An upkeep that began.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Instant,
    pub machine: String,
    pub wave: u64,
    pub holder: String,
    pub fence: u64,
    /// Machines of the wave that were down for upkeep at that moment, without this one.
    pub others_down: Vec<String>,
}

/// An order that arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub machine: String,
    pub wave: u64,
    pub holder: String,
    pub fence: u64,
}

/// Called with the machine and the holder of an order that was carried out or refused.
pub type OnOrder = Box<dyn Fn(&str, &str) + Send + Sync>;

/// Called with a machine and its executor.
pub type OnBegin = Box<dyn Fn(&str, &Executor) + Send + Sync>;

pub struct Cloud {
    pub machines: Mutex<BTreeMap<String, Machine>>,
    pub begun: Mutex<Vec<Begun>>,
    /// All orders, refused ones too.
    pub orders: Mutex<Vec<Order>>,
    on_order: Mutex<Option<OnOrder>>,
    /// Called when an upkeep begins, before it ends the executor.
    on_begin: Mutex<Option<OnBegin>>,
    record: Recorder,
}

impl Cloud {
    pub fn new(executors: &[Arc<Executor>], record: Recorder) -> Arc<Self> {
        let machines = executors.iter().enumerate().map(|(at, executor)| {
            let machine = Machine {
                executor: Arc::clone(executor),
                fence: 0,
                lives: 1,
                down_until: None,
                waves: Vec::new(),
            };
            (format!("m-{}", at + 1), machine)
        });
        Arc::new(Self {
            machines: Mutex::new(machines.collect()),
            begun: Mutex::default(),
            orders: Mutex::default(),
            on_order: Mutex::default(),
            on_begin: Mutex::default(),
            record,
        })
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let cloud = Arc::clone(self);
        Server::start(
            address,
            Arc::new(move |request| match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/v1/machines") => Some((200, cloud.list())),
                ("POST", "/v1/machine-upkeep") => {
                    let body = Json::parse(&request.body)?;
                    let machine = body.get("machine").text()?.to_owned();
                    let holder = request.header("holder").unwrap_or_default().to_owned();
                    let fence = request.header("fence-token").and_then(|fence| fence.parse().ok());
                    let wave = body.get("wave").number()?;
                    Some(cloud.upkeep(&machine, wave, &holder, fence.unwrap_or(0)))
                }
                _ => Some((404, "{}".to_owned())),
            }),
        )
    }

    pub fn set_on_order(&self, on_order: OnOrder) {
        *self.on_order.lock().expect("no panics") = Some(on_order);
    }

    pub fn set_on_begin(&self, on_begin: OnBegin) {
        *self.on_begin.lock().expect("no panics") = Some(on_begin);
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().expect("no panics");
        let rows = machines.iter().map(|(name, machine)| {
            let setup = &machine.executor.setup;
            let labels = setup.labels.iter().map(|label| format!("\"{label}\""));
            let id = machine.executor.id();
            let state = match (machine.down_until, &id) {
                (Some(_), _) => "upkeep",
                (None, Some(_)) => "up",
                (None, None) => "down",
            };
            let id = match id {
                Some(id) => format!("\"{id}\""),
                None => "\"\"".to_owned(),
            };
            format!(
                "{{\"machine\":\"{name}\",\"pool\":\"order-desk\",\"state\":\"{state}\",\"zone\":\"{}\",\
                 \"labels\":[{}],\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"id\":{id}}}",
                setup.zone,
                labels.collect::<Vec<_>>().join(","),
                setup.cpu
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        format!("{{\"machines\":[{rows}],\"next_token\":null}}")
    }

    fn upkeep(self: &Arc<Self>, name: &str, wave: u64, holder: &str, fence: u64) -> (u16, String) {
        let (status, body) = self.begin(name, wave, holder, fence);
        self.orders.lock().expect("no panics").push(Order {
            machine: name.to_owned(),
            wave,
            holder: holder.to_owned(),
            fence,
        });
        self.record.line(&format!(
            "platform: upkeep of {name}, wave {wave}, holder {holder}, token {fence} -> {status} {body}"
        ));
        if let Some(on_order) = &*self.on_order.lock().expect("no panics") {
            on_order(name, holder);
        }
        (status, body)
    }

    fn begin(self: &Arc<Self>, name: &str, wave: u64, holder: &str, fence: u64) -> (u16, String) {
        let mut machines = self.machines.lock().expect("no panics");
        let is_down = |machine: &Machine| machine.down_until.is_some() && machine.waves.contains(&wave);
        let others_down = machines.iter().filter(|(other, machine)| *other != name && is_down(machine));
        let others_down = others_down.map(|(other, _)| other.clone()).collect::<Vec<_>>();
        let Some(machine) = machines.get_mut(name) else {
            return (400, "{}".to_owned());
        };
        if fence < machine.fence {
            return (409, "{\"reason\":\"fence\"}".to_owned());
        }
        machine.fence = fence;
        if machine.waves.contains(&wave) {
            return (200, "{}".to_owned());
        }
        if machine.down_until.is_some() || !machine.executor.is_up() {
            return (409, "{\"reason\":\"busy\"}".to_owned());
        }
        machine.waves.push(wave);
        machine.down_until = Some(Instant::now() + UPKEEP);
        machine.lives += 1;
        let executor = Arc::clone(&machine.executor);
        let id = format!("{}-{}", executor.setup.id, machine.lives);
        drop(machines);
        if let Some(on_begin) = &*self.on_begin.lock().expect("no panics") {
            on_begin(name, &executor);
        }
        self.begun.lock().expect("no panics").push(Begun {
            at: Instant::now(),
            machine: name.to_owned(),
            wave,
            holder: holder.to_owned(),
            fence,
            others_down,
        });
        executor.crash();
        let (cloud, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            // A new executor joins the pool.
            if let Err(e) = executor.start_as(&id) {
                cloud.record.line(&format!("executor {id} does not start: {e}"));
            }
            let mut machines = cloud.machines.lock().expect("no panics");
            if let Some(machine) = machines.get_mut(&name) {
                machine.down_until = None;
            }
        });
        (200, "{}".to_owned())
    }

    /// Name of the machine on which an executor runs.
    pub fn machine_of(&self, id: &str) -> Option<String> {
        let machines = self.machines.lock().expect("no panics");
        let found = machines.iter().find(|(_, machine)| machine.executor.id().as_deref() == Some(id));
        found.map(|(name, _)| name.clone())
    }

    /// Machines that are down for upkeep now.
    pub fn down(&self) -> Vec<String> {
        let machines = self.machines.lock().expect("no panics");
        let down = machines.iter().filter(|(_, machine)| machine.down_until.is_some());
        down.map(|(name, _)| name.clone()).collect()
    }
}
