//! Subsets, turns, signals and the gate, as short traces and properties.

mod helpers;

use expect_test::expect;
use hazelspur::{Duration, GuidanceKey, Timestamp};
use hazelspur_fleet::gate::{Change, Gate};
use hazelspur_fleet::guidance::Guidance;
use hazelspur_fleet::shares::{Limit, LimitId, Terms};
use hazelspur_fleet::signals::{Board, Pace, Whose, Word, middle};
use hazelspur_fleet::subsets::{Candidate, first, over_sites};
use hazelspur_fleet::turns::Round;
use hazelspur_fleet::{At, Generation, Joint, LimitName, MemberName, SiteName};
use helpers::{START, name, terms};
use std::collections::{BTreeMap, BTreeSet};

fn site(of: usize) -> SiteName {
    SiteName::new(["east", "west", "north"][of % 3]).expect("a name")
}

fn candidate(of: usize) -> Candidate {
    Candidate { name: name(of), site: site(of), weight: 1.0 }
}

fn names(of: &[Candidate]) -> BTreeSet<MemberName> {
    of.iter().map(|candidate| candidate.name).collect()
}

#[test]
fn one_that_comes_or_goes_changes_one_place_at_most() {
    for n in [5, 40, 300] {
        let all = |n: usize| (0..n).map(candidate);
        let (few, more) = (first("try", 1, 4, all(n)), first("try", 1, 4, all(n + 1)));
        assert!(names(&few).difference(&names(&more)).count() <= 1, "{n}");
        let without = all(n).filter(|c| c.name != few[0].name);
        assert_eq!(names(&few).difference(&names(&first("try", 1, 4, without))).count(), 1, "{n}");
        assert_ne!(names(&few), names(&first("try", 2, 4, all(n))), "{n}: always the same ones");
    }
    let none = [f64::NAN, 0.0, -1.0, f64::INFINITY].map(|weight| Candidate { weight, ..candidate(1) });
    assert_eq!(first("try", 1, 4, none.into_iter()), vec![]);
}

#[test]
fn weights_are_kept_and_sites_taken_in_turn() {
    let heavy = |of: usize| Candidate { weight: if of < 10 { 3.0 } else { 1.0 }, ..candidate(of) };
    let mut times: BTreeMap<bool, usize> = BTreeMap::new();
    for round in 0..4000 {
        let chosen = first("load", round, 1, (0..40).map(heavy));
        *times.entry(chosen[0].weight > 1.0).or_default() += 1;
    }
    // Ten of weight 3 beside thirty of weight 1.
    assert!((1850..2150).contains(&times[&true]), "{times:?}");
    for round in 0..50 {
        let chosen = over_sites("try", round, 6, (0..200).map(candidate));
        let sites = chosen.iter().fold(BTreeMap::new(), |mut sites: BTreeMap<SiteName, usize>, c| {
            *sites.entry(c.site).or_default() += 1;
            sites
        });
        assert!(sites.len() == 3 && sites.values().all(|n| *n == 2), "{sites:?}");
    }
    // A site of one server gives its one.
    let uneven = (0..9).filter(|of| of % 3 == 0).map(candidate).chain([candidate(1)]);
    assert_eq!(over_sites("try", 0, 3, uneven).len(), 3);
}

#[test]
fn turns_come_at_the_rate_wanted_and_nobody_is_always_last() {
    let round = Round::new(300, 100.0, Duration::from_ms(10_000));
    let mut in_second: BTreeMap<u64, usize> = BTreeMap::new();
    let mut waits: Vec<Vec<u64>> = Vec::new();
    for of in 0..300 {
        let (mut now, mut its) = (START, Vec::new());
        for _ in 0..20 {
            let at = round.next(name(of), "ledger", now);
            assert!(at >= now && at - now < round.period + round.period);
            its.push((at - now).us() / 1000);
            *in_second.entry((at - START).us() / 1_000_000).or_default() += 1;
            now = at + Duration::from_us(1);
        }
        waits.push(its);
    }
    let most = in_second.values().max().copied().unwrap_or(0);
    assert!(most <= 140, "{most} in a second, 100 wanted");
    let first: Vec<u64> = waits.iter().map(|its| its[0]).collect();
    let last = (0..300).max_by_key(|of| first[*of]).expect("some");
    assert!(waits[last].iter().skip(1).any(|ms| *ms < 3000), "{:?}", waits[last]);
    // Longer than the longest wait no period is, whatever the rate.
    assert_eq!(Round::new(100_000, 1.0, Duration::from_ms(2000)).period, Duration::from_ms(2000));
}

fn word(pace: f32, unreached: f32) -> Word {
    Word { pace, unreached: Some(unreached), refused: 0.0 }
}

fn board(words: &[(usize, Word)]) -> Board {
    let mut board = Board::new(64, Duration::from_ms(5000));
    words.iter().for_each(|(of, word)| board.heard(START, name(*of), site(*of), *word));
    board
}

#[test]
fn one_liar_one_stalled_server_and_one_site_move_the_common_word_by_a_place() {
    let well: Vec<(usize, Word)> = (0..30).map(|of| (of, word(1.0 + of as f32 / 100.0, 0.0))).collect();
    let pace = |board: &Board| board.common(START).and_then(|c| c.pace).unwrap_or(f64::NAN);
    let before = pace(&board(&well));
    let lies = [f32::NAN, -3.0, 1000.0, 1e30, f32::INFINITY].map(|lie| {
        let mut words = well.clone();
        words[7].1 = word(lie, 0.0);
        let board = board(&words);
        (pace(&board), board.absurd)
    });
    for (after, _) in lies {
        assert!((after - before).abs() < 0.05, "{before} {lies:?}");
    }
    assert_eq!(lies.map(|(_, absurd)| absurd), [1, 1, 0, 1, 1]);
    // A whole site that says ten times as slow, and one that is silent.
    let mut words = well.clone();
    words.iter_mut().filter(|(of, _)| of % 3 == 1).for_each(|(_, word)| word.pace *= 10.0);
    assert!((pace(&board(&words)) - before).abs() < 0.3);
    words.retain(|(of, _)| of % 3 != 0);
    assert!(pace(&board(&words)) > 3.0, "half of what is heard says so");
    // Old words don't count, and two voices are too few.
    assert_eq!(board(&well).common(START + Duration::from_ms(5001)), None);
    assert_eq!(board(&well[..2]).common(START), None);
}

#[test]
fn a_trouble_of_ones_own_is_told_from_one_of_all() {
    let told = |others: Word, mine: Word| board(&[(1, others), (2, others), (3, others)]).whose(START, &mine);
    let cases = [
        told(word(1.0, 0.0), word(1.1, 0.0)),
        told(word(1.0, 0.0), word(3.0, 0.0)),
        told(word(3.0, 0.0), word(3.0, 0.0)),
        told(word(0.0, 1.0), word(0.0, 1.0)),
        told(word(1.0, 0.0), word(0.0, 1.0)),
        told(word(1.7, 0.0), word(3.0, 0.0)),
        board(&[]).whose(START, &word(3.0, 0.0)),
    ];
    expect!["none mine shared shared mine unknown unknown"].assert_eq(&cases.map(Whose::name).join(" "));
    assert_eq!(
        [middle(vec![]), middle(vec![3.0, 1.0]), middle(vec![1.0, 9.0, 2.0])],
        [None, Some(2.0), Some(2.0)]
    );
}

#[test]
fn the_pace_remembers_the_best_and_forgets_it_in_time() {
    let mut pace = Pace::default();
    let mut told = Vec::new();
    for second in 0..200u64 {
        let secs = if (20..30).contains(&second) || second >= 50 { 0.03 } else { 0.01 };
        let now = START + Duration::from_ms(second * 1000);
        let said = pace.seen(now, secs);
        if [10, 25, 40, 60, 150, 199].contains(&second) {
            told.push(format!("{second}:{said:.1}"));
        }
    }
    expect!["10:1.0 25:3.0 40:1.0 60:3.0 150:3.0 199:1.0"].assert_eq(&told.join(" "));
    assert_eq!([pace.seen(START, f64::NAN), pace.seen(START, -1.0)], [0.0, 0.0]);
}

fn ms(ms: u64) -> Timestamp {
    START + Duration::from_ms(ms)
}

/// Tries of one gate while nobody is reached, from 1 s to the second given.
fn tries(gate: &mut Gate, until_s: u64) -> Vec<u64> {
    (0..6).for_each(|i| gate.ended(ms(1000 + i * 50), false));
    let mut at = Vec::new();
    while let Some(next) = gate.next_try().filter(|next| *next < ms(until_s * 1000)) {
        at.push((next - START).us() / 1000);
        gate.tried(next);
        gate.ended(next, false);
    }
    at
}

#[test]
fn a_shut_gate_tries_in_its_turns_and_opens_with_the_first_that_gets_through() {
    let mut alone = Gate::new(name(3), "ledger", 300);
    assert!(alone.next_try().is_none());
    let by_turns = tries(&mut alone, 21);
    assert!(!alone.is_open() && (9..=21).contains(&by_turns.len()), "{by_turns:?}");
    alone.ended(ms(21_000), true);
    assert!(alone.is_open() && alone.next_try().is_none());
    expect!["[Shut, Opened(Duration(19750000))]"]
        .assert_eq(&format!("{:?}", std::iter::from_fn(|| alone.next_change()).collect::<Vec<Change>>()));

    let mut chosen = Gate::new(name(3), "ledger", 300);
    chosen.common(ms(900), Some((true, true)));
    assert!((70..=110).contains(&tries(&mut chosen, 21).len()));
    let mut other = Gate::new(name(3), "ledger", 300);
    other.common(ms(900), Some((false, true)));
    let few = tries(&mut other, 21).len();
    assert!((3..=8).contains(&few), "{few}");
    // Told of it by one that got through: soon, and once for all such news of a second.
    (0..50).for_each(|i| other.hint(ms(21_000 + i)));
    let next = other.next_try().expect("it is shut");
    assert!(next < ms(21_400), "{next:?}");
    other.tried(next);
    other.ended(next, false);
    other.hint(ms(21_500));
    assert!(other.next_try().expect("it is shut") > ms(22_000));
    assert!(!other.is_open(), "hearsay opens nothing");
}

#[test]
fn a_few_misses_shut_nothing_unless_most_others_miss_too() {
    let mut gate = Gate::new(name(1), "ledger", 10);
    (0..5).for_each(|i| gate.ended(ms(i * 100), false));
    gate.ended(ms(600), true);
    (0..20).for_each(|i| gate.ended(ms(700 + i), false));
    assert!(gate.is_open(), "too short a time");
    gate.common(ms(721), Some((false, true)));
    gate.ended(ms(722), false);
    assert!(!gate.is_open());
}

#[test]
fn what_the_module_was_told_otherwise_is_told_again() {
    let at = At { wall: START, steady: START };
    let limit = Limit {
        name: LimitName::new("calls").expect("a name"),
        total: 50.0,
        floor: 1.0,
        linger: Duration::ZERO,
        whole: None,
    };
    let shares = Terms { keepers: vec![], most: 10, span: Duration::from_ms(4000), limits: vec![limit] };
    let joint = Joint::new(terms(0, 10), Some(shares), Generation(1), 1, at);
    let mut guidance = Guidance::new(true, vec![(LimitId(0), GuidanceKey::CallConcurrencyLimit)]);
    let mut told = || guidance.next(at, &joint).facts;
    let (first, second) = (told(), told());
    guidance.forget();
    let third = guidance.next(at, &joint).facts;
    assert_eq!(first, [(GuidanceKey::CallConcurrencyLimit, Some(5.0))]);
    assert!(second.is_empty() && third == first, "{second:?} {third:?}");
}
