//! The steps of a run and their strategies.

use proptest::prelude::*;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Shape {
    pub agents: usize,
    pub slots: u32,
    pub queue: u32,
    pub max_remembered_keys: usize,
    pub spread: bool,
    /// Whether a restarted agent gets the same incarnation again.
    pub reuses_incarnation: bool,
}

/// A step of a run. Indices are taken modulo the number of items.
#[derive(Debug, Clone)]
pub enum Step {
    /// A caller sends a key with its current binding.
    Call {
        agent: usize,
        key: usize,
    },
    /// A caller sends a key without its binding.
    CallUnbound {
        agent: usize,
        key: usize,
    },
    /// A caller sends a repeatable request.
    Read {
        agent: usize,
    },
    /// A caller cancels one of its open attempts.
    Cancel {
        which: usize,
    },
    /// A message in flight is delivered; `how` selects the result.
    Deliver {
        which: usize,
        how: u8,
    },
    /// A message in flight is delivered and stays in flight.
    Duplicate {
        which: usize,
    },
    /// An answer, or a request between agents, is lost.
    Lose {
        which: usize,
        sent: bool,
    },
    Advance {
        millis: u64,
    },
    Kill {
        agent: usize,
    },
    Restart {
        agent: usize,
    },
    Pause {
        agent: usize,
    },
    Wake {
        agent: usize,
    },
    Drain {
        agent: usize,
        draining: bool,
    },
    Stop {
        agent: usize,
        now: bool,
    },
    ReportPeers {
        agent: usize,
    },
}

pub fn shape() -> impl Strategy<Value = Shape> {
    (
        2..4_usize,
        1..3_u32,
        0..4_u32,
        1..6_usize,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(agents, slots, queue, max_remembered_keys, spread, reuses_incarnation)| Shape {
                agents,
                slots,
                queue,
                max_remembered_keys,
                spread,
                reuses_incarnation,
            },
        )
}

pub fn step() -> impl Strategy<Value = Step> {
    let at = 0..64_usize;
    prop_oneof![
        12 => (at.clone(), at.clone()).prop_map(|(agent, key)| Step::Call { agent, key }),
        2 => (at.clone(), at.clone()).prop_map(|(agent, key)| Step::CallUnbound { agent, key }),
        4 => at.clone().prop_map(|agent| Step::Read { agent }),
        3 => at.clone().prop_map(|which| Step::Cancel { which }),
        40 => (at.clone(), any::<u8>()).prop_map(|(which, how)| Step::Deliver { which, how }),
        4 => at.clone().prop_map(|which| Step::Duplicate { which }),
        4 => (at.clone(), any::<bool>()).prop_map(|(which, sent)| Step::Lose { which, sent }),
        8 => prop_oneof![8 => 0..400_u64, 4 => 400..6_000_u64, 1 => 6_000..90_000_u64]
            .prop_map(|millis| Step::Advance { millis }),
        1 => at.clone().prop_map(|agent| Step::Kill { agent }),
        2 => at.clone().prop_map(|agent| Step::Restart { agent }),
        1 => at.clone().prop_map(|agent| Step::Pause { agent }),
        2 => at.clone().prop_map(|agent| Step::Wake { agent }),
        1 => (at.clone(), any::<bool>())
            .prop_map(|(agent, draining)| Step::Drain { agent, draining }),
        1 => (at.clone(), any::<bool>()).prop_map(|(agent, now)| Step::Stop { agent, now }),
        2 => at.prop_map(|agent| Step::ReportPeers { agent }),
    ]
}
