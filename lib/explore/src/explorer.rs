use std::{
    collections::HashSet,
    hash::{BuildHasher, RandomState},
};

use crate::{Model, Report, StopReason, Violation};

/// Breadth-first search within bounds.
///
/// Visited states are remembered by a 128-bit hash. Among a million states the chance that two
/// share one, so that a state is missed, is below 10^-26.
#[derive(Clone, Copy, Debug)]
pub struct Explorer {
    /// Greatest number of distinct states.
    pub max_states: usize,
    /// Greatest number of steps from an initial state.
    pub max_depth: usize,
}

/// How a state was reached: the node before it and the step from there.
struct Node<S> {
    parent: Option<(usize, S)>,
}

struct Search<M: Model> {
    seen: HashSet<(u64, u64)>,
    hashers: (RandomState, RandomState),
    nodes: Vec<Node<M::Step>>,
    frontier: Vec<(usize, M::State)>,
}

impl Explorer {
    /// Visits the states of a model, and prints how many and what stopped the search.
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
            seen: HashSet::new(),
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
            for (at, state) in std::mem::take(&mut search.frontier) {
                for step in model.steps(&state) {
                    let Some(next) = model.apply(&state, &step) else {
                        continue;
                    };
                    if let Some(rule) = search.visit(model, next, Some((at, step))) {
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
    /// Adds a state unless it is known; returns the rule that it breaks, if any.
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
        if !self.seen.insert(hash) {
            return None;
        }
        let broken = model.check(&state).err();
        self.frontier.push((self.nodes.len(), state));
        self.nodes.push(Node { parent });
        broken
    }

    /// `rule` is broken by the last state visited.
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

    /// Steps to the last state visited.
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
