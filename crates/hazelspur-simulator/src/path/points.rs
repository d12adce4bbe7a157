//! The points that `path` saves.

use crate::path::command::PathArguments;
use crate::path::figures::{Point, quantile_ms};
use crate::path::load::OutcomeCounts;
use crate::path::rounds::{Cell, Side};

/// All points of a finished `path`.
pub(super) fn path_points(asked: &PathArguments, sides: &[Side; 2]) -> Vec<Point> {
    let mut points = Vec::new();
    for side in sides {
        for (cell, rate) in side.cells.iter().zip(&asked.rates) {
            add_cell(&mut points, asked, &side.case, cell, *rate);
        }
        add_side(&mut points, asked, side);
    }
    add_ratios(&mut points, asked, sides);
    points
}

fn add_cell(points: &mut Vec<Point>, asked: &PathArguments, case: &str, cell: &Cell, rate: f64) {
    let at = ("rate_per_s", rate);
    let quantiles = [("p50_ms", 0.5), ("p99_ms", 0.99), ("p999_ms", 0.999)];
    for (name, quantile) in quantiles.into_iter().filter(|_| cell.ran()) {
        let value = quantile_ms(&cell.added_us, quantile);
        points.push(asked.point(&format!("path.added.{name}"), case, "ms", at, value));
    }
    points.push(asked.point("path.ops", case, "ops", at, cell.tally.planned as f64));
    let OutcomeCounts { refused, unknown, failed, broken, unanswered, unsent, .. } = cell.tally;
    for (name, count) in [
        ("refused", refused),
        ("unknown", unknown),
        ("failed", failed + broken),
        ("unanswered", unanswered + unsent),
    ] {
        let share = cell.tally.share_of_planned(count);
        points.push(asked.point(&format!("path.{name}.share"), case, "share", at, share));
    }
    if cell.ran() {
        let cpu = cell.cpu_us_per_op();
        points.push(asked.point("path.rate.cpu_us_per_op", case, "us", at, cpu));
    }
}

fn add_side(points: &mut Vec<Point>, asked: &PathArguments, side: &Side) {
    let tenants = ("tenants", side.size.tenants as f64);
    let size = side.size.to_string();
    if side.ran() {
        points.push(asked.point("path.cpu_us_per_op", &size, "us", tenants, side.cpu_us_per_op()));
    }
    let anon = side.memory.anon_bytes as f64;
    points.push(asked.point("path.memory.anon_bytes", &size, "B", tenants, anon));
}

fn add_ratios(points: &mut Vec<Point>, asked: &PathArguments, sides: &[Side; 2]) {
    let [small, large] = sides;
    if !(small.ran() && large.ran()) {
        return;
    }
    let tenants = ("tenants", large.size.tenants as f64);
    let whole = large.cpu_us_per_op() / small.cpu_us_per_op();
    points.push(asked.point("path.lookup_ratio", "cpu", "ratio", tenants, whole));
    for (i, rate) in asked.rates.iter().enumerate() {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let ratio = quantile_ms(&large.cells[i].added_us, quantile)
                / quantile_ms(&small.cells[i].added_us, quantile);
            let case = format!("{name} at {rate}/s");
            points.push(asked.point("path.lookup_ratio", &case, "ratio", tenants, ratio));
        }
    }
}
