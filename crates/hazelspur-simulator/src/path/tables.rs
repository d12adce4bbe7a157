//! The tables that `path` prints.

use crate::path::command::PathArguments;
use crate::path::figures::quantile_ms;
use crate::path::plan::count_distinct;
use crate::path::rounds::{Cell, Side, Straight};
use comfy_table::{Table, presets};
use hazelspur::Duration;

/// How much one request's CPU may grow from small to large tables.
const MAX_LOOKUP_RATIO: f64 = 1.2;

/// An empty table in Markdown with this header.
pub(super) fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(head);
    table
}

/// All tables of a finished `path`, as text.
///
/// # Errors
/// Where a plan cannot be made.
pub(super) fn path_tables(
    asked: &PathArguments,
    sides: &[Side; 2],
    straights: &[Straight],
) -> anyhow::Result<String> {
    Ok([
        through_server(asked, sides),
        straight_to_runtime(asked, straights),
        all_rates(asked, sides)?,
        large_over_small(asked, sides),
    ]
    .concat())
}

fn through_server(asked: &PathArguments, sides: &[Side; 2]) -> String {
    let mut rows = table(&[
        "ops/s",
        "tables",
        "ops",
        "added p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us/op",
        "refused",
        "unknown",
        "failed",
        "broken",
        "unanswered",
        "unsent",
    ]);
    for (i, rate) in asked.rates.iter().enumerate() {
        for side in sides {
            let Cell { tally, added_us, .. } = &side.cells[i];
            let mut row = vec![rate.to_string(), side.size.to_string(), tally.planned.to_string()];
            row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", quantile_ms(added_us, quantile))));
            row.push(format!("{:.1}", side.cells[i].cpu_us_per_op()));
            let counts = [tally.refused, tally.unknown, tally.failed, tally.broken];
            let counts = counts.into_iter().chain([tally.unanswered, tally.unsent]);
            row.extend(counts.map(|count| format!("{:.4}", tally.share_of_planned(count))));
            rows.add_row(row);
        }
    }
    format!("Through one server, less the middle of those straight to the runtime:\n{rows}\n\n")
}

fn straight_to_runtime(asked: &PathArguments, straights: &[Straight]) -> String {
    let mut rows = table(&["ops/s", "straight p50 ms", "p99 ms", "p99.9 ms", "sent late p50 ms", "p99 ms"]);
    for (rate, Straight { latency_us, send_delay_us }) in asked.rates.iter().zip(straights) {
        let mut row = vec![rate.to_string()];
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", quantile_ms(latency_us, quantile))));
        row.extend([0.5, 0.99].map(|quantile| format!("{:.3}", quantile_ms(send_delay_us, quantile))));
        rows.add_row(row);
    }
    format!("Straight to the runtime, what this tool takes among it:\n{rows}\n\n")
}

fn all_rates(asked: &PathArguments, sides: &[Side; 2]) -> anyhow::Result<String> {
    let mut rows = table(&[
        "tables",
        "op types met",
        "tenants met",
        "CPU us/op",
        "rest, share of a core",
        "anon MB after",
        "peak MB",
        "CPU s by clock",
        "by stat",
    ]);
    for side in sides {
        let mut met = Vec::new();
        for (round, i) in (0..asked.rounds).flat_map(|r| (0..asked.rates.len()).map(move |i| (r, i))) {
            let length = Duration::from_secs(asked.seconds / f64::from(asked.rounds));
            met.extend(asked.plan(side.size, asked.rates[i], length, (u64::from(round) << 8) | i as u64)?);
        }
        let (request_classes, tenants) = count_distinct(&met);
        let rest = side.rest.iter().sum::<f64>() / side.rest.len().max(1) as f64;
        rows.add_row([
            side.size.to_string(),
            request_classes.to_string(),
            tenants.to_string(),
            format!("{:.1}", side.cpu_us_per_op()),
            format!("{rest:.4}"),
            format!("{:.1}", side.memory.anon_bytes as f64 / 1e6),
            format!("{:.1}", side.memory.peak_bytes as f64 / 1e6),
            format!("{:.2}", side.cpu[0].as_secs_f64()),
            format!("{:.2}", side.cpu[1].as_secs_f64()),
        ]);
    }
    Ok(format!("All rates together:\n{rows}\n\n"))
}

fn large_over_small(asked: &PathArguments, sides: &[Side; 2]) -> String {
    let mut rows = table(&["ops/s", "CPU of an op", "p50", "p99", "p99.9"]);
    let [small, large] = sides;
    for (i, rate) in asked.rates.iter().enumerate() {
        let (s, l) = (&small.cells[i], &large.cells[i]);
        let mut row = vec![rate.to_string(), format!("{:.2}", l.cpu_us_per_op() / s.cpu_us_per_op())];
        let ratio = |quantile| quantile_ms(&l.added_us, quantile) / quantile_ms(&s.added_us, quantile);
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.2}", ratio(quantile))));
        rows.add_row(row);
    }
    let rounds: Vec<String> =
        large.rounds.iter().zip(&small.rounds).map(|(l, s)| format!("{:.2}", l / s)).collect();
    let whole = large.cpu_us_per_op() / small.cpu_us_per_op();
    let verdict = match (small.ran() && large.ran(), whole <= MAX_LOOKUP_RATIO) {
        (false, _) => "not comparable, too many ops were answered otherwise than by a run; asked is".into(),
        (true, true) => format!("{whole:.2}, within"),
        (true, false) => format!("{whole:.2}, OVER"),
    };
    let mut out =
        format!("Large over small:\n{rows}\nCPU of an op over all rates: {verdict} {MAX_LOOKUP_RATIO}");
    out += &format!("; by rounds {}", rounds.join(" "));
    out
}
