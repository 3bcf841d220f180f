//! The checker panics on no text; its reports are limited in number and have valid line numbers.

use almondhead_lib::check::check_document;
use almondhead_lib::document_limits::MAX_PROBLEMS;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

const SEED: u64 = 20_261_203;

const ROUNDS: usize = 400;

const EXAMPLES: [&str; 2] = [
    include_str!("../../examples/directory-enquiries.jsonc"),
    include_str!("../../examples/order-booking.jsonc"),
];

const SNIPPETS: [&str; 16] = [
    "{", "}", "[", "]", ",", ":", "\"", "\\u12", "null", "-1e999", "0x1f", "//", "/*", "ñ",
    "\u{0}", "\u{feff}",
];

/// Mutates a text at random: removes or repeats ranges, replaces characters, inserts snippets.
fn mutate(random: &mut SmallRng, text: &str) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    for _ in 0..random.random_range(1..6) {
        let start = random.random_range(0..characters.len());
        let end = characters.len().min(start + random.random_range(1..200));
        match random.random_range(0..4) {
            0 => drop(characters.drain(start..end)),
            1 => {
                let range = characters[start..end].to_vec();
                characters.splice(start..start, range);
            }
            2 => characters[start] = random.random(),
            _ => {
                let snippet = SNIPPETS.choose(random).expect("there are snippets");
                characters.splice(start..start, snippet.chars());
            }
        }
    }
    characters.into_iter().collect()
}

fn assert_valid_report(text: &str) {
    let Err(problems) = check_document(text) else {
        return;
    };
    let line_count = text.split('\n').count();
    assert!(!problems.is_empty());
    assert!(problems.len() <= MAX_PROBLEMS + 1);
    for problem in &problems {
        assert!((1..=line_count).contains(&problem.line), "{problem}");
        assert!(!problem.reason.is_empty());
    }
}

#[test]
fn mutated_examples() {
    let mut random = SmallRng::seed_from_u64(SEED);
    for round in 0..ROUNDS {
        let text = mutate(&mut random, EXAMPLES[round % EXAMPLES.len()]);
        assert_valid_report(&text);
    }
}

#[test]
fn random_bytes() {
    let mut random = SmallRng::seed_from_u64(SEED);
    for _ in 0..ROUNDS {
        let length = random.random_range(0..300);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        assert_valid_report(&String::from_utf8_lossy(&bytes));
    }
}
