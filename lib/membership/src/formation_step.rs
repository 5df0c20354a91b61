use std::collections::BTreeSet;

use tarragon_agreement::Members;
use tarragon_names::HostName;

/// What a host with a replica does so that the group is formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormationStep {
    /// The hosts that are to form the group can do so, or it is not known yet whether they can.
    Wait,
    /// It is the only one of them with a replica, and forms the group alone.
    FormAlone,
    /// None of them has a replica. It forms the group alone if all of them leave it to this host.
    AskForConsent(BTreeSet<HostName>),
}

/// What a host knows before it has found a leader.
#[derive(Clone, Copy, Debug)]
pub struct FormationView<'a> {
    /// Name of the host.
    pub own: &'a HostName,
    /// Member list of its replica; empty unless it is a bootstrap member.
    pub members: &'a Members,
    /// Seeds in its settings.
    pub seeds: &'a [HostName],
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

/// Returns what the host does next; `lacks_replica` tells of which hosts it knows that they have none.
///
/// Whether a host has a disk does not change while the group forms. A bootstrap member that is the only one
/// with a replica therefore needs no agreement: no other host can have formed a group. Where no bootstrap
/// member has one, several hosts could, so the seeds have to agree on one of them.
pub fn formation_step<F>(view: FormationView<'_>, lacks_replica: F) -> FormationStep
where
    F: Fn(&HostName) -> bool,
{
    let members = view.members.by_id.values().map(|member| &member.host);
    let mut founders = members.cloned().collect::<BTreeSet<_>>();
    let is_member = founders.contains(view.own);
    if founders.is_empty() && view.is_first_start {
        founders.extend(view.seeds.iter().cloned());
    }
    let is_founder = founders.remove(view.own);
    if founders.is_empty() || !founders.iter().all(lacks_replica) {
        FormationStep::Wait
    } else if is_member {
        FormationStep::FormAlone
    } else if is_founder || !view.members.by_id.is_empty() {
        // Its disk was lost, and the group may have been formed with its earlier identity, or it is known
        // to a group already.
        FormationStep::Wait
    } else {
        FormationStep::AskForConsent(founders)
    }
}
