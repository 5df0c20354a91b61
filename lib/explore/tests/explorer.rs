//! The explorer on the water jug puzzle, whose shortest solution is known.

use tarragon_explore::{Explorer, Model, StopReason};
use yare::parameterized;

/// Jugs of 3 and 5 litres; `goal` litres in the larger one violate the invariant.
struct Jugs {
    goal: u32,
}

#[derive(Clone, Copy, Debug)]
enum Pour {
    FillSmall,
    FillLarge,
    EmptySmall,
    EmptyLarge,
    IntoLarge,
    IntoSmall,
}

impl Model for Jugs {
    type State = (u32, u32);
    type Step = Pour;

    fn initial(&self) -> Vec<Self::State> {
        vec![(0, 0)]
    }

    fn steps(&self, _: &Self::State) -> Vec<Pour> {
        use Pour::{EmptyLarge, EmptySmall, FillLarge, FillSmall, IntoLarge, IntoSmall};
        vec![
            FillSmall, FillLarge, EmptySmall, EmptyLarge, IntoLarge, IntoSmall,
        ]
    }

    fn apply(&self, (small, large): &Self::State, step: &Pour) -> Option<Self::State> {
        let (small, large) = (*small, *large);
        Some(match step {
            Pour::FillSmall => (3, large),
            Pour::FillLarge => (small, 5),
            Pour::EmptySmall => (0, large),
            Pour::EmptyLarge => (small, 0),
            Pour::IntoLarge => {
                let poured = small.min(5 - large);
                (small - poured, large + poured)
            }
            Pour::IntoSmall => {
                let poured = large.min(3 - small);
                (small + poured, large - poured)
            }
        })
    }

    fn check(&self, (_, large): &Self::State) -> Result<(), String> {
        if *large == self.goal {
            return Err(format!("{large} litres"));
        }
        Ok(())
    }
}

/// Guards against a trace that is not the shortest one; 4 litres need six steps.
#[test]
fn trace_is_the_shortest() {
    let explorer = Explorer {
        max_states: 1_000,
        max_depth: 100,
    };
    let report = explorer.run("jugs", &Jugs { goal: 4 });
    let trace = report.violation.expect("4 litres can be measured").trace;
    assert_eq!(trace.len(), 6);
    let end = trace.iter().fold((0, 0), |state, step| {
        Jugs { goal: 4 }
            .apply(&state, step)
            .expect("every step of this model has a next state")
    });
    assert_eq!(end.1, 4);
}

/// Guards against a bounded search that reports itself as complete, and against the reverse.
#[parameterized(
    complete = { 1_000, 100, StopReason::Complete, 16 },
    by_depth = { 1_000, 1, StopReason::Depth, 3 },
    by_states = { 5, 100, StopReason::States, 5 },
)]
fn reports_why_it_stopped(
    max_states: usize,
    max_depth: usize,
    stop_reason: StopReason,
    states: usize,
) {
    let explorer = Explorer {
        max_states,
        max_depth,
    };
    let report = explorer.run("jugs", &Jugs { goal: 99 });
    assert_eq!((report.stop_reason, report.states), (stop_reason, states));
    assert!(report.violation.is_none());
}
