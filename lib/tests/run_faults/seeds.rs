//! The seeds that CI runs, and those that failed.

use std::ops::Range;

/// The seeds that CI runs.
pub(crate) const SEEDS: Range<u64> = 1..150;

/// Seeds that failed before, which CI runs too.
///
/// The causes found were ends of an earlier attempt (seeds 26, 47, 95, 289 and 326), batches of an
/// earlier incarnation of an owner (30, 108 and 127), messages for an earlier incarnation of the
/// receiver (67 and 345), and a request on a frozen instance whose caller had left (63).
pub(crate) const REGRESSION_SEEDS: [u64; 8] = [190, 217, 279, 289, 294, 326, 345, 371];

/// The seeds that CI runs with instances of unequal capacities, which delegate jobs.
pub(crate) const DELEGATION_SEEDS: Range<u64> = 1..100;

/// The seeds that CI runs with callers who wait long.
pub(crate) const LONG_WAIT_SEEDS: Range<u64> = 1..60;

/// The seeds that CI runs with slow instances, of which 145, 190 and 192 failed before.
pub(crate) const SLOW_SEEDS: Range<u64> = 140..195;

/// Seeds with slow instances that failed before, which CI runs too: batches that counted as lost although
/// their owners took them, and a lease reckoned from a clock reading that was old (40407).
pub(crate) const SLOW_REGRESSION_SEEDS: [u64; 4] = [34, 76, 105, 40_407];

/// The seeds that CI runs with tasks that outlast leases and callers' pauses, beside the lists below.
pub(crate) const LONG_TASK_SEEDS: Range<u64> = 1..200;

/// Seeds with such tasks that failed before: a run that its home released without its owner (23445), and runs
/// dated by the crash of an owner that others had followed.
pub(crate) const LONG_TASK_REGRESSION_SEEDS: [u64; 13] = [
    23_445, 20_074, 20_144, 22_046, 22_450, 23_396, 23_458, 24_092, 24_171, 24_250, 24_451, 25_322,
    25_343,
];

/// The same with delegated jobs: 22552 and 24299, and the others.
pub(crate) const LONG_DELEGATED_REGRESSION_SEEDS: [u64; 6] =
    [22_552, 24_299, 20_445, 21_480, 24_409, 25_469];

/// Seeds with such tasks that failed before: runs that no home claims and that successive owners kept alive.
pub(crate) const UNCLAIMED_RUN_SEEDS: [u64; 43] = [
    67, 112, 458, 646, 714, 1_245, 1_420, 1_932, 2_902, 3_090, 3_139, 3_280, 3_531, 3_629, 3_696,
    3_936, 4_197, 4_766, 4_978, 20_185, 20_335, 21_051, 21_423, 21_553, 21_635, 21_637, 21_705,
    21_722, 22_374, 22_493, 22_947, 22_966, 23_011, 23_108, 23_175, 23_351, 23_408, 23_481, 23_845,
    23_904, 24_395, 24_587, 24_588,
];

/// Seeds with such tasks and delegated jobs that failed before: the same, and jobs that outlived their callers'
/// pauses when the delegating instance and then the home or the owner ended. In 24705 a word from before the
/// owner's start counted as too recent.
pub(crate) const OUTLIVING_JOB_SEEDS: [u64; 70] = [
    59, 75, 105, 677, 850, 851, 904, 1_361, 1_377, 1_558, 1_739, 1_980, 2_245, 2_281, 2_426, 2_652,
    2_734, 2_967, 3_062, 3_194, 3_274, 3_305, 3_507, 3_591, 3_594, 3_827, 3_874, 3_956, 4_044,
    4_361, 4_458, 4_684, 20_135, 20_174, 20_371, 20_455, 20_532, 20_573, 20_672, 20_723, 20_927,
    20_979, 21_087, 21_088, 21_138, 21_176, 21_183, 21_190, 21_370, 21_516, 21_562, 21_840, 22_320,
    22_459, 22_720, 22_918, 23_849, 24_045, 24_476, 24_705, 25_140, 25_204, 25_263, 25_291, 25_348,
    25_350, 25_378, 25_516, 25_528, 25_596,
];
