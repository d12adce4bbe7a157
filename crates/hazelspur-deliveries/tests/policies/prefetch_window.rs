//! Tests of the prefetch window.

use crate::at;
use hazelspur_deliveries::{PrefetchRule, PrefetchWindow};

#[test]
fn adaptive_window_grows_when_full_and_shrinks_on_rejections() {
    let mut window = PrefetchWindow::new(PrefetchRule::Adaptive, 32, at(0));
    let mut seen = String::new();
    for (cycle, (succeeded, rejected, unsettled)) in
        [(10, 0, 2), (10, 0, 4), (10, 0, 1), (10, 0, 4), (5, 5, 6), (0, 9, 2), (0, 0, 1), (9, 0, 1)]
            .into_iter()
            .enumerate()
    {
        window.record_outcomes(succeeded, rejected);
        window.record_unsettled(unsettled);
        let next = window.update(at(500 * (cycle as u64 + 1)), 0.0);
        seen += &format!("succeeded {succeeded} rejected {rejected} unsettled {unsettled}: {next:?}\n");
    }
    expect_test::expect![[r#"
        succeeded 10 rejected 0 unsettled 2: None
        succeeded 10 rejected 0 unsettled 4: Some(3)
        succeeded 10 rejected 0 unsettled 1: None
        succeeded 10 rejected 0 unsettled 4: None
        succeeded 5 rejected 5 unsettled 6: Some(1)
        succeeded 0 rejected 9 unsettled 2: None
        succeeded 0 rejected 0 unsettled 1: None
        succeeded 9 rejected 0 unsettled 1: None
    "#]]
    .assert_eq(&seen);
}
