//! Which upstream each choice policy picks.

use almondhead_lib::choice::Candidate;
use almondhead_lib::choice::choice_for;
use almondhead_lib::keys::UpstreamKey;
use almondhead_lib::policies::ChoicePolicy;
use slotmap::SlotMap;

/// Tasks in flight, slots and recent latency in microseconds.
type Load = (u32, u32, u64);

fn candidates(loads: &[Load]) -> Vec<Candidate> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    loads
        .iter()
        .map(|(in_flight, slots, recent_latency_us)| Candidate {
            upstream: keys.insert(()),
            in_flight: *in_flight,
            slots: *slots,
            recent_latency_us: *recent_latency_us,
        })
        .collect()
}

const POLICIES: [ChoicePolicy; 3] = [
    ChoicePolicy::LeastLoaded,
    ChoicePolicy::RoundRobin,
    ChoicePolicy::PowerOfTwo,
];

/// How often each candidate is chosen in 1,000 calls.
fn counts(policy: ChoicePolicy, loads: &[Load]) -> Vec<u32> {
    let candidates = candidates(loads);
    let mut choice = choice_for(policy, 9);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        let index = choice.choose(&candidates).expect("there are candidates");
        counts[index] += 1;
    }
    counts
}

#[test]
fn no_candidate_gives_none_and_one_is_always_chosen() {
    for policy in POLICIES {
        assert_eq!(choice_for(policy, 9).choose(&[]), None, "{policy:?}");
        assert_eq!(counts(policy, &[(3, 8, 0)]), [1_000], "{policy:?}");
    }
}

#[test]
fn least_loaded_compares_load_per_slot_then_latency() {
    let cases: [(&[Load], &[u32]); 4] = [
        (&[(2, 8, 9), (1, 8, 9), (3, 8, 9)], &[0, 1_000, 0]),
        (&[(2, 8, 9), (3, 16, 9)], &[0, 1_000]),
        (&[(1, 8, 9), (1, 8, 5)], &[0, 1_000]),
        (&[(1, 8, 9), (1, 8, 9)], &[500, 500]),
    ];
    for (loads, expected) in cases {
        assert_eq!(
            counts(ChoicePolicy::LeastLoaded, loads),
            expected,
            "{loads:?}"
        );
    }
}

#[test]
fn round_robin_ignores_load() {
    let loads = [(7, 8, 9), (0, 8, 1), (3, 4, 5), (0, 1, 0)];
    assert_eq!(counts(ChoicePolicy::RoundRobin, &loads), [250; 4]);
}

#[test]
fn power_of_two_never_chooses_the_most_loaded() {
    let counts = counts(ChoicePolicy::PowerOfTwo, &[(0, 8, 0), (1, 8, 0), (2, 8, 0)]);
    assert!(counts[0] > counts[1] && counts[1] > 250, "{counts:?}");
    assert_eq!(counts[2], 0);
}
