//! Cases of the review that need more than a day of the bench. `harness CASE RECORD` plays one and
//! exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
//! does the same without the disruption.

mod behind;
mod cell;
mod chaos;
mod cloud;
mod form;
mod http;
mod json;
mod lasting;
mod odd;
mod pending;
mod seeds;
mod waves;
mod withdrawn;
mod worker;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        cell::broke_down("usage: harness CASE RECORD");
    };
    let world = std::sync::Arc::new(world::World::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let is_broken = match case.as_str() {
        "pending" => pending::run(&world, trouble),
        "waves" => waves::run(&world, trouble),
        "chaos" => chaos::run(&world, trouble),
        "seeds" => seeds::run(&world, trouble),
        "withdrawn" => withdrawn::run(&world, trouble),
        "form" => form::run(&world, trouble),
        "behind" => behind::run(&world, trouble),
        "odd" => odd::run(&world, trouble),
        "lasting" => lasting::run(&world, trouble),
        _ => cell::broke_down("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
