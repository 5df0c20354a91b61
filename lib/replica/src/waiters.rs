use std::collections::{BTreeMap, HashMap};

use tarragon_agreement::Token;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, Term};
use tokio::sync::oneshot;

use crate::StateMachine;

/// Retry delay returned to callers whose request a busy leader refuses, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// Origin of a proposal, which receives its result.
#[derive(Debug)]
pub(crate) enum ProposalWaiter<S>
where
    S: StateMachine,
{
    /// Call that waits for the result.
    Call(oneshot::Sender<Outcome<S::Answer>>),
    /// The scheduler of this host, with its command. It observes every applied command through the
    /// `ApplySink`, so only a refusal is reported to it.
    Scheduler(Box<S::Command>),
}

impl<S> ProposalWaiter<S>
where
    S: StateMachine,
{
    /// Reports that the proposal was not appended and has no effect.
    pub(crate) fn refuse(self, failure: Failure) {
        answer(self, Err(failure));
    }
}

/// Channel to a caller that waits until a read is safe or until a member change is done.
pub(crate) type CompletionWaiter = oneshot::Sender<Outcome<()>>;

/// Pending requests of the replica and the callers that wait for them.
#[derive(Debug)]
pub(crate) struct Waiters<S>
where
    S: StateMachine,
{
    last_token: Token,
    /// Proposals that are not appended yet.
    proposed: HashMap<Token, Vec<ProposalWaiter<S>>>,
    /// Appended proposals by index, with the term in which they were appended.
    appended: BTreeMap<LogIndex, (Term, ProposalWaiter<S>)>,
    /// Reads and member changes that the replica has not answered yet.
    unanswered: HashMap<Token, CompletionWaiter>,
    /// Requests that the replica answered, by the index that must be applied first.
    unapplied: BTreeMap<LogIndex, Vec<CompletionWaiter>>,
}

impl<S> Default for Waiters<S>
where
    S: StateMachine,
{
    fn default() -> Self {
        Self {
            last_token: 0,
            proposed: HashMap::new(),
            appended: BTreeMap::new(),
            unanswered: HashMap::new(),
            unapplied: BTreeMap::new(),
        }
    }
}

impl<S> Waiters<S>
where
    S: StateMachine,
{
    /// Adds the waiters of a batch of proposals, in the order of its records.
    pub(crate) fn add_batch(&mut self, waiters: Vec<ProposalWaiter<S>>) -> Token {
        self.last_token += 1;
        self.proposed.insert(self.last_token, waiters);
        self.last_token
    }

    /// Adds the waiter of a read or of a member change.
    pub(crate) fn add_request(&mut self, waiter: CompletionWaiter) -> Token {
        self.last_token += 1;
        self.unanswered.insert(self.last_token, waiter);
        self.last_token
    }

    /// Records the log position of an appended batch; `first` is the index of its first record.
    pub(crate) fn appended(&mut self, token: Token, first: LogIndex, term: Term) {
        let waiters = self.proposed.remove(&token).unwrap_or_default();
        for (i, waiter) in waiters.into_iter().enumerate() {
            let index = LogIndex(first.0 + i as u64);
            if let Some((_, replaced)) = self.appended.insert(index, (term, waiter)) {
                answer(replaced, Err(replaced_failure()));
            }
        }
    }

    /// Answers the requests that wait for `index`, after its entry was applied.
    ///
    /// If the entry has another term than the proposal appended at `index`, a later leader replaced
    /// the proposal, which then never takes effect.
    pub(crate) fn applied(&mut self, index: LogIndex, term: Term, result: Option<S::Answer>) {
        if let Some((expected, waiter)) = self.appended.remove(&index) {
            let result = result
                .filter(|_| expected == term)
                .ok_or_else(replaced_failure);
            answer(waiter, result);
        }
        while let Some(entry) = self.unapplied.first_entry() {
            if *entry.key() > index {
                break;
            }
            for waiter in entry.remove() {
                complete(waiter, Ok(()));
            }
        }
    }

    /// Answers a read or a member change that the replica completed, once `index` is applied.
    pub(crate) fn done(&mut self, token: Token, index: LogIndex, applied_index: LogIndex) {
        let Some(waiter) = self.unanswered.remove(&token) else {
            return;
        };
        if index <= applied_index {
            complete(waiter, Ok(()));
        } else {
            self.unapplied.entry(index).or_default().push(waiter);
        }
    }

    /// Fails a request that the replica refused. Returns the refused commands of the scheduler,
    /// which have no effect.
    ///
    /// `is_busy` means that this replica refused as the leader, for example because it has reached
    /// the limit of uncommitted entries. Otherwise the failure reports that it is not the leader.
    pub(crate) fn refused(&mut self, token: Token, is_busy: bool) -> Vec<S::Command> {
        let cause = if is_busy {
            Failure::of(Code::QueueFull).retry_after(BUSY_RETRY_MS)
        } else {
            Failure::of(Code::NotLeader)
        };
        let mut commands = Vec::new();
        for waiter in self.proposed.remove(&token).unwrap_or_default() {
            match waiter {
                ProposalWaiter::Scheduler(command) => commands.push(*command),
                waiter @ ProposalWaiter::Call(_) => answer(waiter, Err(cause.clone())),
            }
        }
        if let Some(waiter) = self.unanswered.remove(&token) {
            complete(waiter, Err(cause));
        }
        commands
    }

    /// Fails all requests that wait for an entry to be applied. Called after a snapshot replaced
    /// the entries, because their results are then not known.
    pub(crate) fn fail_unapplied(&mut self) {
        for (_, (_, waiter)) in std::mem::take(&mut self.appended) {
            answer(waiter, Err(Failure::of(Code::NotConfirmed)));
        }
        for waiter in std::mem::take(&mut self.unapplied).into_values().flatten() {
            complete(waiter, Err(Failure::of(Code::NoLeader)));
        }
    }
}

fn replaced_failure() -> Failure {
    Failure::new(
        Code::NotLeader,
        "the leader changed before the write was replicated",
    )
}

fn answer<S>(waiter: ProposalWaiter<S>, result: Outcome<S::Answer>)
where
    S: StateMachine,
{
    if let ProposalWaiter::Call(waiter) = waiter {
        // The send fails if the caller no longer waits.
        let _send_result = waiter.send(result);
    }
}

fn complete(waiter: CompletionWaiter, result: Outcome<()>) {
    let _send_result = waiter.send(result);
}
