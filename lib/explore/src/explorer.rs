use std::{
    collections::HashSet,
    hash::{BuildHasher, RandomState},
};

use crate::{Model, Report, StopReason, Violation};

/// Breadth-first search with a bound on states and depth.
///
/// The search stores a 128-bit hash of each visited state instead of the state. Among a million
/// states, the probability that two have the same hash and one is skipped is below 10^-26.
#[derive(Clone, Copy, Debug)]
pub struct Explorer {
    /// Number of distinct states after which the search stops.
    pub max_states: usize,
    /// Number of steps from an initial state after which the search stops.
    pub max_depth: usize,
}

/// A visited state in the search tree, without the state itself.
struct Node<S> {
    /// Index of the preceding node and the step from it; `None` for an initial state.
    parent: Option<(usize, S)>,
}

struct Search<M: Model> {
    visited: HashSet<(u64, u64)>,
    hashers: (RandomState, RandomState),
    nodes: Vec<Node<M::Step>>,
    frontier: Vec<(usize, M::State)>,
}

impl Explorer {
    /// Searches the states of a model and prints the report under `name`.
    pub fn run<M>(&self, name: &str, model: &M) -> Report<M::Step>
    where
        M: Model,
    {
        let report = self.search(model);
        println!("{name}: {report}");
        if let Some(violation) = &report.violation {
            print!("{name}: {violation}");
        }
        report
    }

    fn search<M>(&self, model: &M) -> Report<M::Step>
    where
        M: Model,
    {
        let mut search = Search::<M> {
            visited: HashSet::new(),
            hashers: (RandomState::new(), RandomState::new()),
            nodes: Vec::new(),
            frontier: Vec::new(),
        };
        for state in model.initial() {
            if let Some(rule) = search.visit(model, state, None) {
                return search.report(0, StopReason::Violation, Some(rule));
            }
        }
        for depth in 1..=self.max_depth {
            for (node, state) in std::mem::take(&mut search.frontier) {
                for step in model.steps(&state) {
                    let Some(next) = model.apply(&state, &step) else {
                        continue;
                    };
                    if let Some(rule) = search.visit(model, next, Some((node, step))) {
                        return search.report(depth, StopReason::Violation, Some(rule));
                    }
                    if search.nodes.len() >= self.max_states {
                        return search.report(depth, StopReason::States, None);
                    }
                }
            }
            if search.frontier.is_empty() {
                return search.report(depth - 1, StopReason::Complete, None);
            }
        }
        search.report(self.max_depth, StopReason::Depth, None)
    }
}

impl<M: Model> Search<M> {
    /// Records a state unless it was visited before; returns the rule that it violates, if any.
    fn visit(
        &mut self,
        model: &M,
        state: M::State,
        parent: Option<(usize, M::Step)>,
    ) -> Option<String> {
        let hash = (
            self.hashers.0.hash_one(&state),
            self.hashers.1.hash_one(&state),
        );
        if !self.visited.insert(hash) {
            return None;
        }
        let violated = model.check(&state).err();
        self.frontier.push((self.nodes.len(), state));
        self.nodes.push(Node { parent });
        violated
    }

    /// Builds the report; `rule` is what the last visited state violates.
    fn report(
        self,
        depth: usize,
        stop_reason: StopReason,
        rule: Option<String>,
    ) -> Report<M::Step> {
        let violation = rule.map(|rule| Violation {
            rule,
            trace: self.trace(),
        });
        Report {
            states: self.nodes.len(),
            depth,
            stop_reason,
            violation,
        }
    }

    /// Steps from an initial state to the last visited state.
    fn trace(&self) -> Vec<M::Step> {
        let mut trace = Vec::new();
        let mut node = self.nodes.last();
        while let Some((parent, step)) = node.and_then(|n| n.parent.as_ref()) {
            trace.push(step.clone());
            node = self.nodes.get(*parent);
        }
        trace.reverse();
        trace
    }
}
