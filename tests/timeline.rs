//! Tests of the monotonic timeline while the Unix clock is set forward and back.

use hazelspur::{Duration, Timeline, Timestamp};

#[test]
fn setting_the_unix_clock_does_not_shift_the_timeline() {
    let unix = |ms: u64| Timestamp::from_us(1_800_000_000_000_000 + ms * 1000);
    let timeline = Timeline::new(unix(0));
    let mut report = String::new();
    // Times that the Unix clock may show 1 s later: the right one, set forward by 60 s, set back by 60 s, set
    // to 1970.
    let unix_times =
        [unix(1000), unix(61_000), Timestamp::from_us(unix(0).us() - 59_000_000), Timestamp::from_us(0)];
    for unix_now in unix_times {
        let now = timeline.at(Duration::from_ms(1000));
        let sent_at = |ms_ago: u64| unix_now.saturating_sub(Duration::from_ms(ms_ago));
        let ahead = Timeline::convert_unix(now, unix_now, unix_now + Duration::from_ms(40)) - unix(0);
        let ages =
            [0, 30, 700].map(|ago| (now - Timeline::convert_unix(now, unix_now, sent_at(ago))).us() / 1000);
        report += &format!("now {} ages {ages:?} ahead {}\n", (now - unix(0)).us() / 1000, ahead.us() / 1000);
    }
    expect_test::expect![[r#"
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 30, 700] ahead 1040
        now 1000 ages [0, 0, 0] ahead 1040
    "#]]
    .assert_eq(&report);
}
