//! The output of `hazelspur-server check`: a summary of a valid operator's file, the key and the line of an
//! invalid one.

use std::path::{Path, PathBuf};
use std::process::Command;

/// A temporary file, removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, extension: &str) -> Self {
        let name = format!("hazelspur-{name}-{}{extension}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns a valid `fleet(...)`, where `replacement`, such as `most = 5`, replaces the key of that name or is
/// added. An empty text changes nothing.
fn fleet(key_file: &Path, replacement: &str) -> String {
    let mut keys = vec![
        "installation = \"bread\"".to_string(),
        "site = \"east\"".into(),
        "at = \"127.0.0.1:7946\"".into(),
        "most = 12".into(),
        format!("key_file = {key_file:?}"),
    ];
    let name = replacement.split(' ').next().unwrap_or_default();
    keys.retain(|key| name.is_empty() || !key.starts_with(name));
    keys.extend((!replacement.is_empty()).then(|| replacement.to_string()));
    format!("fleet(\n{},\n)\n", keys.join(",\n"))
}

fn operator_files(key_file: &Path) -> Vec<String> {
    let fleet = |replacement: &str| fleet(key_file, replacement);
    let brokers = "amqp(\n  brokers = [\"127.0.0.1:1\"],\n)\n";
    let long = format!("x = {:?}\n", "y".repeat(70_000));
    vec![
        format!(
            "{brokers}queue(name = \"a\")\nqueue(\n  name = \"b\",\n  outcomes = {{\n    \"poison\": \"later\",\n  }},\n)"
        ),
        format!("{brokers}queue(name = \"a\", most = 0)"),
        format!("{brokers}queue(\n  name = \"a\",\n  most = \"many\")"),
        format!("{brokers}queue(name = \"a\", mots = 3)"),
        format!("{brokers}queue(name = \"a\")\nqueue(name = \"a\")"),
        format!("{brokers}{brokers}"),
        "amqp(brokers = [])".into(),
        "amqp(brokers = [\"bread\"])".into(),
        "queue(name = \"a\")".into(),
        "amqp(brokers = ".into(),
        "load(\"other.star\", \"x\")".into(),
        "open(\"/etc/passwd\")".into(),
        "def f():\n  for i in range(1000000000):\n    pass\nf()".into(),
        "def f(n):\n  return f(n + 1)\nf(0)".into(),
        long,
        brokers.into(),
        fleet(""),
        fleet("most = 5000"),
        fleet("at = \"0.0.0.0:1\""),
        fleet("at = \"127.0.0.1:0\""),
        fleet("contacts = [\"127.0.0.1:1\", \"nowhere\"]"),
        fleet("site = \"two words\""),
        fleet("sight = \"east\""),
        fleet("key_file = \"/nowhere\""),
        fleet("key_file = \"/dev/null\""),
        fleet("shares = [{\"limit\": \"slots\", \"total\": 5}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": -5}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"linger_s\": 3}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"part\": 3}]"),
        fleet("keepers = [\"a\"]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"floor\": 1}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5}]"),
        fleet("keepers = [\"a\", \"b\"],\nshares = [{\"limit\": \"calls\", \"total\": 5}]"),
        fleet("keepers = [\"a\", \"a\", \"b\"],\nshares = [{\"limit\": \"calls\", \"total\": 5}]"),
        format!("{}{}", fleet(""), fleet("")),
    ]
}

/// Returns the first line that `check` prints, with FILE for the path, and the exit status.
fn check(file: &Path) -> String {
    let server = env!("CARGO_BIN_EXE_hazelspur-server");
    let out = Command::new(server).arg("check").arg(file).output().expect("the command runs");
    let report = String::from_utf8([out.stdout, out.stderr].concat()).expect("text");
    let first = report.lines().next().unwrap_or_default().replace(&file.display().to_string(), "FILE");
    let first = first.replace("(os error 2)", "").trim_end().to_string();
    format!("{first}, exit {:?}\n", out.status.code())
}

#[test]
fn an_invalid_operators_file_is_refused_with_its_key_and_line() {
    let (key, file) = (TempFile::new("key", ""), TempFile::new("check", ".star"));
    std::fs::write(&key.0, "sixteen characters and more").expect("a file");
    let mut seen = String::new();
    for text in operator_files(&key.0) {
        std::fs::write(&file.0, text).expect("a file");
        seen += &check(&file.0);
    }
    expect_test::expect![[r#"
        FILE:8: queues[1].outcomes.poison: would come back for ever: only ack or reject, exit Some(2)
        FILE:4: queues[0].most: lower than 1, exit Some(2)
        FILE:6: queues[0].most: invalid type: string "many", expected u16, exit Some(2)
        FILE:4: queues[0].mots: unknown field `mots`, expected one of `name`, `op_type`, `need_kb`, `window`, `most`, `clock`, `waits_s`, `settle`, `retry_queue`, `outcomes`, `most_tries`, `failed_pause_s`, exit Some(2)
        FILE:5: queues[1].name: duplicate queue name, exit Some(2)
        FILE:4: amqp: called twice, exit Some(2)
        FILE:1: amqp.brokers: length is lower than 1, exit Some(2)
        FILE:1: amqp.brokers[0]: invalid socket address syntax, exit Some(2)
        FILE:1: queues[0].name: queue(...) requires amqp(...), exit Some(2)
        FILE:1: Parse error: unexpected new line, expected expression, exit Some(2)
        FILE:1: No imports are available, you tried `other.star` (no call to `Evaluator.set_loader`), exit Some(2)
        FILE:1: Variable `open` not found, did you mean `len`?, exit Some(2)
        FILE: Execution duration limit of 1000000 ticks has been exceeded, exit Some(2)
        FILE:2: Starlark call stack overflow, exit Some(2)
        FILE: longer than 65536 bytes, exit Some(2)
        FILE: good: brokers=1 queues=0 fleet=none, exit Some(0)
        FILE: good: brokers=0 queues=0 fleet=east, exit Some(0)
        FILE:6: fleet.most: greater than 4096, exit Some(2)
        FILE:6: fleet.at: not an address that other servers can reach, exit Some(2)
        FILE:6: fleet.at: not an address that other servers can reach, exit Some(2)
        FILE:7: fleet.contacts[1]: invalid socket address syntax, exit Some(2)
        FILE:6: fleet.site: invalid value: string "two words", expected a name of 1 to 31 visible ASCII characters, exit Some(2)
        FILE:7: fleet.sight: unknown field `sight`, expected one of `installation`, `site`, `at`, `listen`, `contacts`, `key_file`, `most`, `period_s`, `remember_s`, `together`, `keepers`, `lease_s`, `shares`, exit Some(2)
        fleet.key_file: /nowhere: No such file or directory, exit Some(2)
        fleet.key_file: /dev/null: key is shorter than 16 bytes, exit Some(2)
        FILE:7: fleet.shares: unknown limit slots, expected calls or tenant.NAME, exit Some(2)
        FILE:7: fleet.shares: calls: total is not a number from 0 to 1000000000, exit Some(2)
        FILE:7: fleet.shares: calls: linger_s is more than half of lease_s, which leaves no time for leases, exit Some(2)
        FILE:7: fleet.shares[0].part: unknown field `part`, expected one of `limit`, `total`, `floor`, `linger_s`, exit Some(2)
        FILE:7: fleet.keepers: set without any shares, exit Some(2)
        FILE: good: brokers=0 queues=0 fleet=east, exit Some(0)
        FILE:7: fleet.shares: floor must be 1 for every limit if there are no keepers, exit Some(2)
        FILE:7: fleet.keepers: 2 servers, but the number must be odd, exit Some(2)
        FILE:8: fleet.shares: keepers: a server is listed twice, so its vote would count twice, exit Some(2)
        FILE:8: fleet: called twice, exit Some(2)
    "#]].assert_eq(&seen);
}
