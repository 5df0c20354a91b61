use std::collections::{BTreeMap, HashMap};

use tarragon_agreement::Token;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, Term};
use tokio::sync::oneshot;

use crate::StateMachine;

/// Wait told to callers while the leader is busy, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// Who waits for the result of a proposal.
#[derive(Debug)]
pub(crate) enum ProposalWaiter<S>
where
    S: StateMachine,
{
    /// A call.
    Call(oneshot::Sender<Outcome<S::Answer>>),
    /// The own scheduler, which sees every applied command and is told only of refusals.
    Scheduler(Box<S::Command>),
}

/// Receiver of a permission to read or of the result of a member change.
pub(crate) type DoneWaiter = oneshot::Sender<Outcome<()>>;

/// Requests whose results are still to come.
#[derive(Debug)]
pub(crate) struct Waiters<S>
where
    S: StateMachine,
{
    next: Token,
    batches: HashMap<Token, Vec<ProposalWaiter<S>>>,
    appended: BTreeMap<LogIndex, (Term, ProposalWaiter<S>)>,
    done: HashMap<Token, DoneWaiter>,
    reads: BTreeMap<LogIndex, Vec<DoneWaiter>>,
}

impl<S> Default for Waiters<S>
where
    S: StateMachine,
{
    fn default() -> Self {
        Self {
            next: 0,
            batches: HashMap::new(),
            appended: BTreeMap::new(),
            done: HashMap::new(),
            reads: BTreeMap::new(),
        }
    }
}

impl<S> Waiters<S>
where
    S: StateMachine,
{
    /// Keeps the waiters of a batch of proposals.
    pub(crate) fn add_batch(&mut self, waiters: Vec<ProposalWaiter<S>>) -> Token {
        self.next += 1;
        self.batches.insert(self.next, waiters);
        self.next
    }

    /// Keeps the waiter of a read or of a member change.
    pub(crate) fn add_done(&mut self, waiter: DoneWaiter) -> Token {
        self.next += 1;
        self.done.insert(self.next, waiter);
        self.next
    }

    /// Notes where the records of a batch were appended.
    pub(crate) fn appended(&mut self, token: Token, first: LogIndex, term: Term) {
        let waiters = self.batches.remove(&token).unwrap_or_default();
        for (i, waiter) in waiters.into_iter().enumerate() {
            let index = LogIndex(first.0 + i as u64);
            if let Some((_, replaced)) = self.appended.insert(index, (term, waiter)) {
                answer(replaced, Err(replaced_failure()));
            }
        }
    }

    /// Passes on the result of an applied entry.
    ///
    /// An entry of another term at the same index proves that the proposal never takes effect.
    pub(crate) fn applied(&mut self, index: LogIndex, term: Term, result: Option<S::Answer>) {
        if let Some((expected, waiter)) = self.appended.remove(&index) {
            let result = result
                .filter(|_| expected == term)
                .ok_or_else(replaced_failure);
            answer(waiter, result);
        }
        while let Some(entry) = self.reads.first_entry() {
            if *entry.key() > index {
                break;
            }
            for waiter in entry.remove() {
                permit(waiter, Ok(()));
            }
        }
    }

    /// Passes on a permission once `index` is applied.
    pub(crate) fn done(&mut self, token: Token, index: LogIndex, applied: LogIndex) {
        let Some(waiter) = self.done.remove(&token) else {
            return;
        };
        if index <= applied {
            permit(waiter, Ok(()));
        } else {
            self.reads.entry(index).or_default().push(waiter);
        }
    }

    /// Passes on a refusal; the request has no effect. Gives back the commands of the scheduler.
    ///
    /// A leader refuses while it `is_busy` with as many uncommitted entries as it may hold.
    pub(crate) fn refused(&mut self, token: Token, is_busy: bool) -> Vec<S::Command> {
        let cause = if is_busy {
            Failure::of(Code::QueueFull).retry_after(BUSY_RETRY_MS)
        } else {
            Failure::of(Code::NotLeader)
        };
        let mut commands = Vec::new();
        for waiter in self.batches.remove(&token).unwrap_or_default() {
            match waiter {
                ProposalWaiter::Scheduler(command) => commands.push(*command),
                waiter @ ProposalWaiter::Call(_) => answer(waiter, Err(cause.clone())),
            }
        }
        if let Some(waiter) = self.done.remove(&token) {
            permit(waiter, Err(cause));
        }
        commands
    }

    /// Gives up all requests whose results cannot be told any more, after a snapshot replaced the
    /// entries that they wait for.
    pub(crate) fn forget(&mut self) {
        for (_, (_, waiter)) in std::mem::take(&mut self.appended) {
            answer(waiter, Err(Failure::of(Code::NotConfirmed)));
        }
        for waiter in std::mem::take(&mut self.reads).into_values().flatten() {
            permit(waiter, Err(Failure::of(Code::NoLeader)));
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
        // The caller may have given up.
        let _gone = waiter.send(result);
    }
}

fn permit(waiter: DoneWaiter, result: Outcome<()>) {
    let _gone = waiter.send(result);
}
