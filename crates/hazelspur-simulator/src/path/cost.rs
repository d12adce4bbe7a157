//! Measures for `path --cost` what a server without requests costs, by table size: start, memory, idle CPU
//! time, and reloads of its settings.

use crate::path::command::{PathArguments, SETTLING_PERIOD};
use crate::path::figures::Point;
use crate::path::plan::TableSize;
use crate::path::process::{Memory, Server};
use crate::path::tables::table;
use anyhow::Context;
use comfy_table::Table;
use std::time::Duration as StdDuration;

const BYTES_PER_MB: f64 = 1e6;

/// Cost of an idle server with tables of one size.
struct IdleCost {
    /// Time from the start until a health check finds the server ready.
    time_to_serving: StdDuration,
    /// CPU time until then.
    start_cpu: StdDuration,
    /// CPU time a second, as a share of one core.
    idle_cpu_share: f64,
    memory: Memory,
    settings_file_bytes: u64,
    /// Answers to three requests: of the last request class, of the last tenant, and of both.
    answers: [String; 3],
}

/// Cost of settings reloads, over all reloads of one server.
struct ReloadCost {
    /// Mean CPU time of one reload, in seconds.
    cpu_s: f64,
    /// Longest time until the new settings were in force, in seconds.
    max_s: f64,
    /// Longest health check during a reload, in seconds.
    max_stall_s: f64,
    memory: Memory,
}

/// Measures a server of each table size, prints the tables, and saves the points.
pub(super) fn measure_costs(arguments: &PathArguments) -> anyhow::Result<()> {
    let (mut idle_rows, mut reload_rows) = (idle_table(), reload_table());
    let mut points = Vec::new();
    for size in &arguments.sizes {
        let idle = measure_idle(arguments, *size)?;
        idle_rows.add_row(idle_row(*size, &idle));
        add_idle_points(&mut points, arguments, *size, &idle);
        if arguments.reloads > 0 {
            let reload = measure_reloads(arguments, *size)?;
            reload_rows.add_row(reload_row(*size, &reload));
            add_reload_points(&mut points, arguments, *size, &reload);
        }
    }
    if arguments.reloads > 0 {
        println!("One server whose file changes by one tenant, {} times:\n{reload_rows}", arguments.reloads);
    }
    println!("One server that nothing is asked of, beside runtime and control plane:\n{idle_rows}");
    arguments.save(points)
}

fn idle_table() -> Table {
    table(&[
        "op types x tenants",
        "file MB",
        "serving after s",
        "CPU of the start s",
        "anon MB",
        "resident MB",
        "peak MB",
        "rest, share of a core",
        "last op type",
        "last tenant",
        "both",
    ])
}

fn reload_table() -> Table {
    table(&[
        "op types x tenants",
        "CPU of a reload s",
        "longest until it holds s",
        "longest health check meanwhile s",
        "anon MB after",
        "peak MB",
    ])
}

fn measure_idle(arguments: &PathArguments, size: TableSize) -> anyhow::Result<IdleCost> {
    let server = arguments.start(size)?;
    let (time_to_serving, start_cpu) =
        server.wait_until_serving().with_context(|| format!("{size} tables"))?;
    std::thread::sleep(SETTLING_PERIOD);
    let idle_cpu_share = server.idle_cpu_share(StdDuration::from_secs_f64(arguments.rest_seconds))?;
    let memory = server.memory()?;
    let answers = probe_last_entries(&server, size);
    let settings_file_bytes = server.settings_file_bytes;
    Ok(IdleCost { time_to_serving, start_cpu, idle_cpu_share, memory, settings_file_bytes, answers })
}

fn probe_last_entries(server: &Server, size: TableSize) -> [String; 3] {
    let (request_class, tenant) = (size.request_classes - 1, size.tenants - 1);
    let probes = [(request_class, 0), (0, tenant), (request_class, tenant)];
    probes.map(|(request_class, tenant)| server.probe(request_class, tenant))
}

fn measure_reloads(arguments: &PathArguments, size: TableSize) -> anyhow::Result<ReloadCost> {
    let server = arguments.start_reloading(size)?;
    server.wait_until_serving().with_context(|| format!("{size} tables"))?;
    let (mut longest, mut cpu, mut stall) = (StdDuration::ZERO, StdDuration::ZERO, StdDuration::ZERO);
    for n in 0..arguments.reloads {
        let (reload_duration, reload_cpu, reload_stall) = server.reload(n)?;
        (longest, cpu, stall) = (longest.max(reload_duration), cpu + reload_cpu, stall.max(reload_stall));
    }
    Ok(ReloadCost {
        cpu_s: cpu.as_secs_f64() / f64::from(arguments.reloads),
        max_s: longest.as_secs_f64(),
        max_stall_s: stall.as_secs_f64(),
        memory: server.memory()?,
    })
}

fn megabytes(bytes: u64) -> String {
    format!("{:.2}", bytes as f64 / BYTES_PER_MB)
}

fn idle_row(size: TableSize, idle: &IdleCost) -> Vec<String> {
    let Memory { anon_bytes, resident_bytes, peak_bytes } = idle.memory;
    let mut row = vec![size.to_string(), megabytes(idle.settings_file_bytes)];
    row.push(format!("{:.3}", idle.time_to_serving.as_secs_f64()));
    row.push(format!("{:.3}", idle.start_cpu.as_secs_f64()));
    row.extend([anon_bytes, resident_bytes, peak_bytes].map(megabytes));
    row.push(format!("{:.4}", idle.idle_cpu_share));
    row.extend(idle.answers.iter().cloned());
    row
}

fn reload_row(size: TableSize, reload: &ReloadCost) -> Vec<String> {
    let mut row = vec![size.to_string()];
    row.extend([reload.cpu_s, reload.max_s, reload.max_stall_s].map(|secs| format!("{secs:.4}")));
    row.extend([reload.memory.anon_bytes, reload.memory.peak_bytes].map(megabytes));
    row
}

fn add_idle_points(points: &mut Vec<Point>, arguments: &PathArguments, size: TableSize, idle: &IdleCost) {
    let (case, by) = (size.to_string(), ("tenants", size.tenants as f64));
    for (figure, unit, value) in [
        ("server.memory.anon_bytes", "B", idle.memory.anon_bytes as f64),
        ("server.memory.resident_bytes", "B", idle.memory.resident_bytes as f64),
        ("server.memory.peak_bytes", "B", idle.memory.peak_bytes as f64),
        ("server.start.cpu_s", "s", idle.start_cpu.as_secs_f64()),
        ("server.start.s", "s", idle.time_to_serving.as_secs_f64()),
        ("server.rest.cpu_share", "share", idle.idle_cpu_share),
        ("server.file_bytes", "B", idle.settings_file_bytes as f64),
    ] {
        points.push(arguments.point(figure, &case, unit, by, value));
    }
}

fn add_reload_points(
    points: &mut Vec<Point>,
    arguments: &PathArguments,
    size: TableSize,
    reload: &ReloadCost,
) {
    let (case, by) = (size.to_string(), ("tenants", size.tenants as f64));
    for (figure, unit, value) in [
        ("server.reload.stall_s", "s", reload.max_stall_s),
        ("server.reload.anon_bytes", "B", reload.memory.anon_bytes as f64),
        ("server.reload.cpu_s", "s", reload.cpu_s),
        ("server.reload.s", "s", reload.max_s),
        ("server.reload.peak_bytes", "B", reload.memory.peak_bytes as f64),
    ] {
        points.push(arguments.point(figure, &case, unit, by, value));
    }
}
