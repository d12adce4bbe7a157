//! The line that waits go by, while the Unix clock is set.

use hazelspur::{Duration, Timeline, Timestamp};

#[test]
fn a_clock_that_is_set_moves_no_wait_and_no_arrival() {
    let unix = |ms: u64| Timestamp::from_us(1_800_000_000_000_000 + ms * 1000);
    let line = Timeline::new(unix(0));
    let mut seen = String::new();
    // What the Unix clock says 1 s later: as it should, set forward, set back, set to before 1970.
    let said =
        [unix(1000), unix(61_000), Timestamp::from_us(unix(0).us() - 59_000_000), Timestamp::from_us(0)];
    for says in said {
        let now = line.at(Duration::from_ms(1000));
        let stamp = |ms_ago: u64| says.back(Duration::from_ms(ms_ago));
        let ahead = Timeline::stamped(now, says, says + Duration::from_ms(40)) - unix(0);
        let ages = [0, 30, 700].map(|ago| (now - Timeline::stamped(now, says, stamp(ago))).us() / 1000);
        seen += &format!("now {} ages {ages:?} ahead {}\n", (now - unix(0)).us() / 1000, ahead.us() / 1000);
    }
    expect_test::expect![[r#"
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 0, 0] ahead 1040
    "#]]
    .assert_eq(&seen);
}
