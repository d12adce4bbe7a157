//! Formats the tables that `path` prints.

use crate::path::command::PathArguments;
use crate::path::figures::quantile_ms;
use crate::path::plan::count_distinct;
use crate::path::rounds::{DirectResult, RateResult, SizeResult};
use comfy_table::{Table, presets};
use hazelspur::Duration;

/// Greatest allowed ratio of a request's CPU time with large tables to that with small tables.
const MAX_LOOKUP_RATIO: f64 = 1.2;

/// Returns an empty Markdown table with this header.
pub(super) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

/// Returns all tables of a finished `path` as text.
///
/// # Errors
/// Returns an error if the arrivals cannot be planned.
pub(super) fn path_tables(
    arguments: &PathArguments,
    size_results: &[SizeResult; 2],
    direct_results: &[DirectResult],
) -> anyhow::Result<String> {
    Ok([
        through_server_table(arguments, size_results),
        direct_table(arguments, direct_results),
        all_rates_table(arguments, size_results)?,
        ratio_table(arguments, size_results),
    ]
    .concat())
}

fn through_server_table(arguments: &PathArguments, size_results: &[SizeResult; 2]) -> String {
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
    for (i, rate) in arguments.rates.iter().enumerate() {
        for size_result in size_results {
            let RateResult { counts, added_us, .. } = &size_result.by_rate[i];
            let mut row = vec![rate.to_string(), size_result.size.to_string(), counts.planned.to_string()];
            row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", quantile_ms(added_us, quantile))));
            row.push(format!("{:.1}", size_result.by_rate[i].cpu_us_per_request()));
            let row_counts = [counts.refused, counts.unknown, counts.failed, counts.broken];
            let row_counts = row_counts.into_iter().chain([counts.unanswered, counts.unsent]);
            row.extend(row_counts.map(|count| format!("{:.4}", counts.share_of_planned(count))));
            rows.add_row(row);
        }
    }
    format!("Through one server, less the middle of those straight to the runtime:\n{rows}\n\n")
}

fn direct_table(arguments: &PathArguments, direct_results: &[DirectResult]) -> String {
    let mut rows = table(&["ops/s", "straight p50 ms", "p99 ms", "p99.9 ms", "sent late p50 ms", "p99 ms"]);
    for (rate, DirectResult { latency_us, send_delay_us }) in arguments.rates.iter().zip(direct_results) {
        let mut row = vec![rate.to_string()];
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", quantile_ms(latency_us, quantile))));
        row.extend([0.5, 0.99].map(|quantile| format!("{:.3}", quantile_ms(send_delay_us, quantile))));
        rows.add_row(row);
    }
    format!("Straight to the runtime, what this tool takes among it:\n{rows}\n\n")
}

fn all_rates_table(arguments: &PathArguments, size_results: &[SizeResult; 2]) -> anyhow::Result<String> {
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
    for size_result in size_results {
        let mut arrivals = Vec::new();
        for (round, i) in (0..arguments.rounds).flat_map(|r| (0..arguments.rates.len()).map(move |i| (r, i)))
        {
            let length = Duration::from_secs(arguments.seconds / f64::from(arguments.rounds));
            arrivals.extend(arguments.plan(
                size_result.size,
                arguments.rates[i],
                length,
                (u64::from(round) << 8) | i as u64,
            )?);
        }
        let (request_classes, tenants) = count_distinct(&arrivals);
        let idle_cpu_share =
            size_result.idle_cpu_shares.iter().sum::<f64>() / size_result.idle_cpu_shares.len().max(1) as f64;
        rows.add_row([
            size_result.size.to_string(),
            request_classes.to_string(),
            tenants.to_string(),
            format!("{:.1}", size_result.cpu_us_per_request()),
            format!("{idle_cpu_share:.4}"),
            format!("{:.1}", size_result.memory.anon_bytes as f64 / 1e6),
            format!("{:.1}", size_result.memory.peak_bytes as f64 / 1e6),
            format!("{:.2}", size_result.lifetime_cpu[0].as_secs_f64()),
            format!("{:.2}", size_result.lifetime_cpu[1].as_secs_f64()),
        ]);
    }
    Ok(format!("All rates together:\n{rows}\n\n"))
}

fn ratio_table(arguments: &PathArguments, size_results: &[SizeResult; 2]) -> String {
    let mut rows = table(&["ops/s", "CPU of an op", "p50", "p99", "p99.9"]);
    let [small, large] = size_results;
    for (i, rate) in arguments.rates.iter().enumerate() {
        let (small_at_rate, large_at_rate) = (&small.by_rate[i], &large.by_rate[i]);
        let mut row = vec![
            rate.to_string(),
            format!("{:.2}", large_at_rate.cpu_us_per_request() / small_at_rate.cpu_us_per_request()),
        ];
        let ratio = |quantile| {
            quantile_ms(&large_at_rate.added_us, quantile) / quantile_ms(&small_at_rate.added_us, quantile)
        };
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.2}", ratio(quantile))));
        rows.add_row(row);
    }
    let rounds: Vec<String> = large
        .cpu_us_per_request_by_round
        .iter()
        .zip(&small.cpu_us_per_request_by_round)
        .map(|(large, small)| format!("{:.2}", large / small))
        .collect();
    let cpu_ratio = large.cpu_us_per_request() / small.cpu_us_per_request();
    let verdict = match (small.nearly_all_ran() && large.nearly_all_ran(), cpu_ratio <= MAX_LOOKUP_RATIO) {
        (false, _) => "not comparable, too many ops were answered otherwise than by a run; asked is".into(),
        (true, true) => format!("{cpu_ratio:.2}, within"),
        (true, false) => format!("{cpu_ratio:.2}, OVER"),
    };
    let mut out =
        format!("Large over small:\n{rows}\nCPU of an op over all rates: {verdict} {MAX_LOOKUP_RATIO}");
    out += &format!("; by rounds {}", rounds.join(" "));
    out
}
