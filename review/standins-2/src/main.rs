//! Drivers of the cases of the second review: `review-case NAME ROOT FOLDER RECORD`. TROUBLE=0 in the
//! environment leaves the disruption out. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod broker;
mod cases;
mod gateway;
mod http;
mod record;
mod relay;
mod server;
mod wire;
mod worker;

use record::Record;
use server::Place;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, record_file] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.add(format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let outcome = Place::new(Path::new(root), Path::new(folder))
        .and_then(|place| cases::run(name, &place, &record, trouble));
    let (line, code) = match outcome {
        Ok(faults) if faults.is_empty() => ("the rule held".to_string(), 0),
        Ok(faults) => (format!("the rule was broken: {}", faults.join("; ")), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&line);
    println!("{name}: {line}");
    if let Err(error) = record.write(record_file) {
        eprintln!("{record_file}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
