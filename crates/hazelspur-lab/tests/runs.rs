//! What the laboratory promises of its runs.

use hazelspur::Span;
use hazelspur_lab::drive::{Drive, Figures, Plan, Turn};
use hazelspur_lab::on_all_cores;
use hazelspur_lab::studies::together;
use hazelspur_lab::studies::who_is_here::{Case, Row, play};
use hazelspur_lab::ways::Way;
use hazelspur_lab::ways::beats::Beats;
use hazelspur_lab::ways::library::Library;
use hazelspur_lab::ways::own::Own;

fn cases(size: usize, seeds: u64) -> Vec<Case> {
    let trouble = Span::from_ms(120_000);
    let stop = Span::from_ms(2000);
    (1..=seeds).map(|seed| Case { size, seed, trouble, loss: 0.01, stop }).collect()
}

fn row<W: Way>(size: usize, seeds: u64, threads: usize) -> Row {
    Row { way: W::NAME, size, outcomes: on_all_cores(&cases(size, seeds), threads, play::<W>) }
}

#[test]
fn one_seed_gives_one_run_on_any_number_of_threads() {
    let on = |threads| row::<Own>(12, 4, threads).cells().join(" | ");
    assert_eq!(on(1), on(4));
    let other = row::<Own>(12, 3, 2).cells().join(" | ");
    assert_ne!(on(2), other, "seeds make no difference");
}

#[test]
fn two_second_stops_and_lost_datagrams_kill_nobody_and_a_kill_is_noticed_by_all() {
    for outcome in row::<Own>(40, 3, 4).outcomes {
        assert_eq!((outcome.false_deaths, outcome.unnoticed), (0, 0));
        assert!(outcome.notice_ms.value_at_quantile(0.99) < 40_000);
        assert!(outcome.together_s.is_some_and(|s| s < 30.0) && outcome.storm_s.is_some());
    }
}

#[test]
fn the_ways_that_are_compared_do_what_they_are_for() {
    for row in [row::<Library>(12, 2, 2), row::<Beats>(12, 2, 2)] {
        let found = row.outcomes.iter().all(|o| o.unnoticed == 0 && o.storm_s.is_some());
        assert!(found, "{}: {:?}", row.way, row.cells());
    }
}

fn together(servers: usize, seed: u64, load: f64, down_ms: u64) -> together::Case {
    together::Case { servers, seed, load, seconds: 18, ledger_down: Span::from_ms(down_ms) }
}

#[test]
fn the_real_modules_of_many_servers_play_one_run_for_one_seed() {
    let cases: Vec<_> = (1..=3).map(|seed| together(4, seed, 0.5, 2000)).collect();
    let (one, four) = (on_all_cores(&cases, 1, together::play), on_all_cores(&cases, 4, together::play));
    assert_eq!(one, four);
    assert_ne!(one[0], one[1]);
}

#[test]
fn models_and_modules_serve_what_fits_and_refuse_what_does_not() {
    let quiet = together::play(&together(6, 1, 0.4, 0));
    assert!(quiet.service() > 0.99, "{quiet:?}");
    let crowded = together::play(&together(2, 1, 1.6, 0));
    assert!((0.3..0.75).contains(&crowded.service()) && crowded.refused > 0, "{crowded:?}");
    let down = together::play(&together(6, 1, 0.4, 5000));
    let second = |at: usize| down.by_second.get(at).copied().unwrap_or(0);
    assert!(second(12) < 30 && second(16) > 400, "{:?}", down.by_second);
    let all = down.served + down.refused + down.failed + down.late;
    assert!(all <= down.asked && all + 200 > down.asked, "{down:?}");
}

#[test]
fn a_site_that_is_killed_costs_service_until_it_is_back_and_slow_cores_cost_less() {
    let run = |turns: &[(u64, Turn)]| {
        let mut drive = Drive::new(Plan::new(6, 1, 0.6));
        turns.iter().for_each(|(ms, turn)| drive.script(Span::from_ms(*ms), *turn));
        drive.play(Span::from_ms(20_000));
        drive.figures
    };
    let whole = run(&[]);
    let ends =
        [(8000, Turn::Kill(0)), (8000, Turn::Kill(1)), (13_000, Turn::Start(0)), (13_000, Turn::Start(1))];
    let killed = run(&ends);
    let slow =
        run(&[(8000, Turn::Speed(0, 0.2)), (13_000, Turn::Speed(0, 1.0)), (8000, Turn::LedgerSlow(2.0))]);
    assert!(whole.service() > 0.99 && slow.service() < whole.service(), "{whole:?}\n{slow:?}");
    assert!((0.5..0.99).contains(&killed.service()), "{killed:?}");
    let second = |of: &Figures, at: usize| of.by_second.get(at).copied().unwrap_or(0);
    assert!(second(&killed, 19) * 10 > second(&whole, 19) * 9, "{:?}", killed.by_second);
}
