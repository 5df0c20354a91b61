use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

use crate::{Answer, Command, MAX_STORED_WRITES};

/// First answers of operators' writes, so that a resent write has no second effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Writes {
    answers: BTreeMap<Arc<str>, (Command, Answer)>,
    order: VecDeque<Arc<str>>,
}

impl Writes {
    /// Answer of an earlier write with this id; an id that names another write is refused.
    pub fn earlier(&self, request_id: &str, command: &Command) -> Option<Answer> {
        let (first, answer) = self.answers.get(request_id)?;
        if first == command {
            return Some(answer.clone());
        }
        Some(Answer::Failed(Failure::new(
            Code::KeyReused,
            format!("request id '{request_id}' was used for another write"),
        )))
    }

    /// Keeps an answer and drops the oldest beyond the bound.
    pub fn keep(&mut self, request_id: &Arc<str>, command: &Command, answer: &Answer) {
        self.answers
            .insert(Arc::clone(request_id), (command.clone(), answer.clone()));
        self.order.push_back(Arc::clone(request_id));
        if self.order.len() > MAX_STORED_WRITES
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
