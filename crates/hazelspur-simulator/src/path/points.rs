//! Converts the results of all rounds of `path` to the points that are saved.

use crate::path::command::PathArguments;
use crate::path::figures::{Point, quantile_ms};
use crate::path::load::OutcomeCounts;
use crate::path::rounds::{RateResult, SizeResult};

/// Returns the points of all rounds: for each rate and table size, for each table size, and the ratios of
/// large to small tables.
pub(super) fn path_points(arguments: &PathArguments, size_results: &[SizeResult; 2]) -> Vec<Point> {
    let mut points = Vec::new();
    for size_result in size_results {
        for (rate_result, rate) in size_result.by_rate.iter().zip(&arguments.rates) {
            add_rate_points(&mut points, arguments, &size_result.case, rate_result, *rate);
        }
        add_size_points(&mut points, arguments, size_result);
    }
    add_ratio_points(&mut points, arguments, size_results);
    points
}

fn add_rate_points(
    points: &mut Vec<Point>,
    arguments: &PathArguments,
    case: &str,
    rate_result: &RateResult,
    rate: f64,
) {
    let at_rate = ("rate_per_s", rate);
    let quantiles = [("p50_ms", 0.5), ("p99_ms", 0.99), ("p999_ms", 0.999)];
    for (name, quantile) in quantiles.into_iter().filter(|_| rate_result.nearly_all_ran()) {
        let value = quantile_ms(&rate_result.added_us, quantile);
        points.push(arguments.point(&format!("path.added.{name}"), case, "ms", at_rate, value));
    }
    points.push(arguments.point("path.ops", case, "ops", at_rate, rate_result.counts.planned as f64));
    let OutcomeCounts { refused, unknown, failed, broken, unanswered, unsent, .. } = rate_result.counts;
    for (name, count) in [
        ("refused", refused),
        ("unknown", unknown),
        ("failed", failed + broken),
        ("unanswered", unanswered + unsent),
    ] {
        let share = rate_result.counts.share_of_planned(count);
        points.push(arguments.point(&format!("path.{name}.share"), case, "share", at_rate, share));
    }
    if rate_result.nearly_all_ran() {
        let cpu = rate_result.cpu_us_per_request();
        points.push(arguments.point("path.rate.cpu_us_per_op", case, "us", at_rate, cpu));
    }
}

fn add_size_points(points: &mut Vec<Point>, arguments: &PathArguments, size_result: &SizeResult) {
    let tenants = ("tenants", size_result.size.tenants as f64);
    let size = size_result.size.to_string();
    if size_result.nearly_all_ran() {
        points.push(arguments.point(
            "path.cpu_us_per_op",
            &size,
            "us",
            tenants,
            size_result.cpu_us_per_request(),
        ));
    }
    let anon = size_result.memory.anon_bytes as f64;
    points.push(arguments.point("path.memory.anon_bytes", &size, "B", tenants, anon));
}

fn add_ratio_points(points: &mut Vec<Point>, arguments: &PathArguments, size_results: &[SizeResult; 2]) {
    let [small, large] = size_results;
    if !(small.nearly_all_ran() && large.nearly_all_ran()) {
        return;
    }
    let tenants = ("tenants", large.size.tenants as f64);
    let cpu_ratio = large.cpu_us_per_request() / small.cpu_us_per_request();
    points.push(arguments.point("path.lookup_ratio", "cpu", "ratio", tenants, cpu_ratio));
    for (i, rate) in arguments.rates.iter().enumerate() {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let ratio = quantile_ms(&large.by_rate[i].added_us, quantile)
                / quantile_ms(&small.by_rate[i].added_us, quantile);
            let case = format!("{name} at {rate}/s");
            points.push(arguments.point("path.lookup_ratio", &case, "ratio", tenants, ratio));
        }
    }
}
