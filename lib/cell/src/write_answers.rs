use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

use crate::{Answer, Command, MAX_STORED_WRITES};

/// First answers to operators' writes, so that a resent write has no second effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WriteAnswers {
    answers: BTreeMap<Arc<str>, (Command, Answer)>,
    order: VecDeque<Arc<str>>,
}

impl WriteAnswers {
    /// Answer to an earlier write with this id, or a failure if the id was used for another write.
    pub fn earlier_answer(&self, request_id: &str, command: &Command) -> Option<Answer> {
        let (first, answer) = self.answers.get(request_id)?;
        if first == command {
            return Some(answer.clone());
        }
        Some(Answer::Failed(Failure::new(
            Code::KeyReused,
            format!("request id '{request_id}' was used for another write"),
        )))
    }

    /// Stores an answer and removes the oldest one beyond [`MAX_STORED_WRITES`].
    pub fn store(&mut self, request_id: &Arc<str>, command: &Command, answer: &Answer) {
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
