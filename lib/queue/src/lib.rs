//! Queue order, team quotas, ageing and preemption choice.
