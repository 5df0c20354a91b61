use tarragon_names::{LogIndex, Millis};

use crate::MemberProgress;

/// Time for which a member that answers may acknowledge none of the entries sent to it before it lags.
/// Far above the time of a sync on a slow disk (10 ms) and of an election, so that neither is reported.
const LAG_AFTER: Millis = Millis(10_000);

/// Time since the last answer after which a member counts as silent instead.
const MAX_MEMBER_SILENCE: Millis = Millis(1_000);

/// What a leader has observed of the acknowledgements of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberLag {
    match_index: LogIndex,
    /// Time since which the member acknowledges nothing of what was sent.
    stalled_since: Option<Millis>,
    /// Time at which the first snapshot since the last acknowledgement was sent.
    first_snapshot_sent_at: Option<Millis>,
    /// Whether it has acknowledged nothing for `LAG_AFTER` of what was sent.
    is_stalled: bool,
    /// Index at which a lagging member counts as caught up; `None` for a member that does not lag.
    catch_up_to: Option<LogIndex>,
}

impl MemberLag {
    pub(crate) fn is_lagging(&self) -> bool {
        self.catch_up_to.is_some()
    }

    pub(crate) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Takes the current progress of the member; returns whether its lag begins (true) or ends (false),
    /// or `None` if neither.
    pub(crate) fn observe(
        &mut self,
        member: &MemberProgress,
        last_index: LogIndex,
        now: Millis,
    ) -> Option<bool> {
        let has_moved = member.match_index != self.match_index;
        if has_moved || member.silent_for >= MAX_MEMBER_SILENCE {
            *self = Self {
                match_index: member.match_index,
                catch_up_to: self.catch_up_to,
                ..Self::default()
            };
        }
        self.is_stalled = self.has_stalled(member, last_index, now);
        if let Some(target) = self.catch_up_to {
            if member.match_index >= target {
                self.catch_up_to = None;
                return Some(false);
            }
            // A member that acknowledges a part and stops again has not caught up.
            if !has_moved {
                self.catch_up_to = Some(last_index);
            }
            return None;
        }
        if !self.is_stalled {
            return None;
        }
        self.catch_up_to = Some(last_index);
        Some(true)
    }

    /// Returns whether the member has acknowledged nothing for `LAG_AFTER` of what was sent.
    fn has_stalled(&mut self, member: &MemberProgress, last_index: LogIndex, now: Millis) -> bool {
        if member.match_index >= last_index || member.silent_for >= MAX_MEMBER_SILENCE {
            self.stalled_since = None;
            return false;
        }
        // The first snapshot is under way until it is sent again. Later ones do not restart the time,
        // because a member with a full disk gets one after another.
        if let Some(sent_at) = member.snapshot_sent_at
            && *self.first_snapshot_sent_at.get_or_insert(sent_at) == sent_at
        {
            self.stalled_since = Some(now);
        }
        if member.has_unacknowledged {
            self.stalled_since.get_or_insert(now);
        }
        self.stalled_since
            .is_some_and(|since| now.since(since) >= LAG_AFTER)
    }
}
