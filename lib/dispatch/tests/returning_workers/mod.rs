//! Simulation of workers that fall silent and return, judged by what the workers did.

mod cluster_runs;
mod draw;
mod exchange;
mod job_plan;
mod model_worker;
mod observer;
mod planted_fault;
mod simulation;
mod transport;

pub use draw::Draw;
pub use job_plan::{JobPlan, MAX_ATTEMPTS};
pub use model_worker::{Cut, ModelWorker};
pub use observer::{Observer, Rule, Violation};
pub use planted_fault::PlantedFault;
pub use simulation::{Intensity, Simulation, Summary};
pub use transport::{Answer, Event, Transport};
