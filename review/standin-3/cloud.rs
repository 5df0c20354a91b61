//! The platform's interface for machines, as PROTOCOL.md describes it: a list, and upkeep with fencing.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    cell::{Cell, SERVICE, broke_down},
    http::{Message, Reply, Server},
    json::Json,
    world::World,
    worker::Worker,
};

/// Returns how late a call is to be carried out, and whether it is to be left without an answer.
pub type CloudTrouble = Arc<dyn Fn(&str, &Json) -> Option<Duration> + Send + Sync>;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    Up,
    Upkeep,
    Down,
}

struct Machine {
    worker: Arc<Worker>,
    state: State,
    fence: u64,
    holder: String,
    /// Waves for which the upkeep of the machine has begun.
    waves: Vec<u64>,
}

/// An upkeep that began.
#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Upkeep {
    pub machine: String,
    pub worker: usize,
    pub wave: u64,
    pub at: u64,
    pub others_down: usize,
    pub late: bool,
}

pub struct Cloud {
    world: Arc<World>,
    machines: Mutex<BTreeMap<String, Machine>>,
    pub upkeeps: Mutex<Vec<Upkeep>>,
    pub trouble: Mutex<Option<CloudTrouble>>,
    /// Two holders with one token, or a lower token after a higher one.
    pub breaks_of_one: Mutex<Vec<String>>,
    pub maintenance: Duration,
    on_upkeep: Mutex<Option<Box<dyn Fn(&Upkeep) + Send + Sync>>>,
    /// Order that is carried out when the case says so.
    held: Mutex<Option<(String, u64, Json)>>,
}

pub fn machine_name(worker: usize) -> String {
    format!("m-{worker:05x}")
}

impl Cloud {
    pub fn start(cell: &Cell) -> (Arc<Cloud>, Server) {
        let machines = cell.workers.iter().map(|w| {
            let machine = Machine { worker: Arc::clone(w), state: State::Up, fence: 0, holder: String::new(), waves: Vec::new() };
            (machine_name(w.index), machine)
        });
        let cloud = Arc::new(Cloud {
            world: Arc::clone(&cell.world),
            machines: Mutex::new(machines.collect()),
            upkeeps: Mutex::default(),
            trouble: Mutex::default(),
            breaks_of_one: Mutex::default(),
            maintenance: Duration::from_secs(2),
            on_upkeep: Mutex::default(),
            held: Mutex::default(),
        });
        let answering = Arc::clone(&cloud);
        let handler = Arc::new(move |req: &Message| answering.answer(req));
        match Server::start(Cell::cloud_addr(cell.net, cell.ports), handler) {
            Ok(server) => (cloud, server),
            Err(e) => broke_down(&format!("the platform's address: {e}")),
        }
    }

    pub fn on_upkeep<F>(&self, f: F)
    where
        F: Fn(&Upkeep) + Send + Sync + 'static,
    {
        *self.on_upkeep.lock().unwrap() = Some(Box::new(f));
    }

    /// Crashes the executor of a machine; the machine is down until it is back.
    pub fn crash(self: &Arc<Self>, machine: &str, back: Duration) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let m = machines.get_mut(machine).unwrap();
            if m.state != State::Up {
                return;
            }
            m.state = State::Down;
            Arc::clone(&m.worker)
        };
        worker.crash("crash");
        let (cloud, machine) = (Arc::clone(self), machine.to_owned());
        thread::spawn(move || {
            thread::sleep(back);
            cloud.up(&machine);
        });
    }

    /// Crashes the executor of a machine, which is down until `bring_up`.
    pub fn crash_until_told(&self, machine: &str) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let m = machines.get_mut(machine).unwrap();
            m.state = State::Down;
            Arc::clone(&m.worker)
        };
        worker.crash("crash");
    }

    pub fn bring_up(&self, machine: &str) {
        self.up(machine);
    }

    /// Number of other machines that are down for an upkeep.
    pub fn others_in_upkeep(&self, machine: &str) -> usize {
        let machines = self.machines.lock().unwrap();
        machines.iter().filter(|(n, m)| *n != machine && m.state == State::Upkeep).count()
    }

    /// Carries out the order that got no answer.
    pub fn carry_out_held(self: &Arc<Self>) {
        let held = self.held.lock().unwrap().take();
        if let Some((holder, fence, body)) = held {
            self.upkeep(&holder, fence, &body, true);
        }
    }

    fn up(&self, machine: &str) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let m = machines.get_mut(machine).unwrap();
            m.state = State::Up;
            Arc::clone(&m.worker)
        };
        self.world.note(&format!("machine {machine} is up"));
        worker.start(false);
    }

    fn answer(self: &Arc<Self>, req: &Message) -> Reply {
        let path = req.path().split('?').next().unwrap_or("").to_owned();
        if path == "/v1/machines" {
            let machines = self.machines.lock().unwrap();
            let rows = machines.iter().map(|(name, m)| {
                let state = match m.state {
                    State::Up => "up",
                    State::Upkeep => "upkeep",
                    State::Down => "down",
                };
                let id = m.worker.id().map(|id| format!(",\"id\":\"{id}\"")).unwrap_or_default();
                format!(
                    "{{\"machine\":\"{name}\",\"pool\":\"{SERVICE}\",\"state\":\"{state}\",\"zone\":\"{}\",\"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}}{id}}}",
                    m.worker.zone, m.worker.rack, m.worker.cpu, m.worker.mem_mb
                )
            });
            let rows = rows.collect::<Vec<_>>().join(",");
            return Reply::Answer(200, format!("{{\"machines\":[{rows}],\"next_token\":\"\"}}"));
        }
        if path != "/v1/machine-upkeep" {
            return Reply::Answer(404, "{}".to_owned());
        }
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let holder = req.header("Holder").unwrap_or("").to_owned();
        let fence = req.header("Fence-Token").and_then(|f| f.parse().ok()).unwrap_or(0);
        let trouble = self.trouble.lock().unwrap().clone();
        let late = trouble.and_then(|t| t(&path, &body));
        if late == Some(Duration::MAX) {
            self.world.note(&format!(
                "upkeep of {} for wave {} by {holder} with token {fence} gets no answer",
                body.text("machine"), body.u64("wave")
            ));
            *self.held.lock().unwrap() = Some((holder, fence, body));
            return Reply::Silence;
        }
        if let Some(late) = late {
            self.world.note(&format!(
                "upkeep of {} for wave {} by {holder} with token {fence} gets no answer and is carried out {} ms later",
                body.text("machine"), body.u64("wave"), late.as_millis()
            ));
            let cloud = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(late);
                cloud.upkeep(&holder, fence, &body, true);
            });
            return Reply::Silence;
        }
        self.upkeep(&holder, fence, &body, false)
    }

    fn upkeep(self: &Arc<Self>, holder: &str, fence: u64, body: &Json, late: bool) -> Reply {
        let (name, wave) = (body.text("machine").to_owned(), body.u64("wave"));
        let mut machines = self.machines.lock().unwrap();
        let others_down = machines.iter().filter(|(n, m)| **n != name && m.state == State::Upkeep && m.waves.contains(&wave)).count();
        let Some(m) = machines.get_mut(&name) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let note = |what: &str| {
            self.world.note(&format!(
                "upkeep of {name} for wave {wave} by {holder} with token {fence}{}: {what}",
                if late { ", carried out late" } else { "" }
            ));
        };
        if fence < m.fence {
            note("409 fence");
            return Reply::Answer(409, "{\"reason\":\"fence\"}".to_owned());
        }
        if fence == m.fence && !m.holder.is_empty() && m.holder != holder {
            self.breaks_of_one.lock().unwrap().push(format!("{name}: {} and {holder} with token {fence}", m.holder));
        }
        m.fence = fence;
        m.holder = holder.to_owned();
        if m.waves.contains(&wave) {
            note("200, already done");
            return Reply::Answer(200, "{}".to_owned());
        }
        if m.state != State::Up {
            note("409 busy");
            return Reply::Answer(409, "{\"reason\":\"busy\"}".to_owned());
        }
        m.state = State::Upkeep;
        m.waves.push(wave);
        let worker = Arc::clone(&m.worker);
        drop(machines);
        note(&format!("200, begins while {others_down} others are down for it"));
        let upkeep = Upkeep { machine: name.clone(), worker: worker.index, wave, at: self.world.now(), others_down, late };
        if let Some(f) = self.on_upkeep.lock().unwrap().as_ref() {
            f(&upkeep);
        }
        self.upkeeps.lock().unwrap().push(upkeep);
        worker.crash("upkeep");
        let cloud = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(cloud.maintenance);
            cloud.up(&name);
        });
        Reply::Answer(200, "{}".to_owned())
    }
}
