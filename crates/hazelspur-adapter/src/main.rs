//! Hosts one `hazelspur::AdmissionController` for each server of the bench, on standard input and output.

mod wire;

use hazelspur::{
    AdmissionController, ClientId, Duration, NewRequest, RequestClassId, RuntimeGauges, SessionKey, TenantId,
    Timestamp,
};
use hazelspur_parsers::{Json, settings};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::Fields;

/// The instances, and what has been read of the batch in hand.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, AdmissionController>,
    now: Option<Timestamp>,
    selected: Option<String>,
    /// Instances with an event in this batch, in order of appearance, with what went wrong for each.
    touched: Vec<(String, Option<String>)>,
}

/// What keeps the adapter from going on, and the instance that can say so on the wire.
struct Trouble {
    text: String,
    instance: Option<String>,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    let (mut line, mut reply) = (Vec::new(), String::new());
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) if host.now.is_none() => return ExitCode::SUCCESS,
            Ok(0) => return stop(number, "input ended within a batch", ""),
            Err(e) => return stop(number, &format!("input failed: {e}"), ""),
            Ok(_) => {}
        }
        let Ok(text) = std::str::from_utf8(&line) else { return stop(number, "line is not UTF-8", "") };
        let text = text.trim_end_matches(['\n', '\r']);
        if let Err(trouble) = host.take_line(text) {
            match trouble.instance {
                Some(name) => {
                    complain(number, &trouble.text, text);
                    host.touch(&name, Some(trouble.text));
                }
                None => return stop(number, &trouble.text, text),
            }
        }
        if text.split(' ').next() == Some("COMMIT") {
            reply.clear();
            host.reply(&mut reply);
            if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                return ExitCode::SUCCESS;
            }
        }
    }
    ExitCode::SUCCESS
}

fn complain(number: u64, what: &str, line: &str) {
    eprintln!("line {number}: {what}: {}", line.chars().take(200).collect::<String>());
}

fn stop(number: u64, what: &str, line: &str) -> ExitCode {
    complain(number, what, line);
    ExitCode::from(2)
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}

impl Host {
    fn touch(&mut self, name: &str, fault: Option<String>) {
        match self.touched.iter_mut().find(|(touched, _)| touched == name) {
            Some((_, known)) => *known = known.take().or(fault),
            None => self.touched.push((name.into(), fault)),
        }
    }

    fn take_line(&mut self, text: &str) -> Result<(), Trouble> {
        let (name, fields) = text.split_once(' ').unwrap_or((text, ""));
        let fields = Fields(fields);
        let plain = |text: String| Trouble { text, instance: None };
        match (name, self.now) {
            ("BATCH", Some(_)) => return Err(plain("BATCH within a batch".into())),
            ("BATCH", None) => {
                self.now = Some(Timestamp::from_us(fields.need("at-time-us").map_err(plain)?));
            }
            ("", None) => {}
            (_, None) => return Err(plain("line outside a batch".into())),
            ("COMMIT" | "", Some(_)) => {}
            ("SELECT", Some(_)) => self.selected = Some(fields.need("server-id").map_err(plain)?),
            (
                "ENLIST" | "EXIT" | "CALL" | "WANTS_CALL" | "DEP_REPLY" | "COMPLETED" | "DROPPED" | "TIMER"
                | "QUIESCE",
                Some(now),
            ) => {
                let Some(server) = self.selected.clone() else {
                    return Err(plain("event before any SELECT".into()));
                };
                self.take_event(&server, now, name, fields)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn take_event(
        &mut self,
        server: &str,
        now: Timestamp,
        name: &str,
        fields: Fields,
    ) -> Result<(), Trouble> {
        let known = self.instances.contains_key(server).then(|| server.to_string());
        if name == "ENLIST" {
            let start = || -> Result<AdmissionController, String> {
                let seed = fields.need("salt")?;
                let info = fields.rest("boot-info").ok_or("field boot-info is missing")?;
                let object = Json::parse(info.as_bytes()).ok_or("field boot-info is unreadable")?;
                let catalog = settings::catalog(object).map_err(|error| error.to_string())?;
                catch_unwind(AssertUnwindSafe(|| AdmissionController::new(catalog, seed, now)))
                    .map_err(|p| panic_text(&*p))
            };
            let controller = start().map_err(|text| Trouble { text, instance: Some(server.into()) })?;
            self.instances.insert(server.into(), controller);
            self.touched.retain(|(touched, _)| touched != server);
            self.touch(server, None);
            return Ok(());
        }
        let Some(controller) = self.instances.get_mut(server) else {
            return Err(Trouble { text: format!("event for unknown instance {server}"), instance: None });
        };
        if name == "EXIT" {
            self.instances.remove(server);
            self.touched.retain(|(touched, _)| touched != server);
            return Ok(());
        }
        let heard = catch_unwind(AssertUnwindSafe(|| hear(controller, now, name, fields)));
        self.touch(server, None);
        match heard {
            Ok(Ok(())) => Ok(()),
            Ok(Err(text)) => Err(Trouble { text, instance: known }),
            Err(panic) => Err(Trouble { text: panic_text(&*panic), instance: known }),
        }
    }

    fn reply(&mut self, reply: &mut String) {
        let now = self.now.take().unwrap_or_default();
        self.selected = None;
        for (server, fault) in std::mem::take(&mut self.touched) {
            let mut told = false;
            let mut tell = |reply: &mut String, text: &dyn Fn(&mut String)| {
                if !std::mem::replace(&mut told, true) {
                    reply.push_str(&format!("CONTEXT server-id={server}\n"));
                }
                text(reply);
            };
            let give_in = |text: &str| format!("GIVE_IN message={}\n", text.replace('\n', " "));
            if let Some(text) = fault {
                tell(reply, &|r| r.push_str(&give_in(&text)));
                continue;
            }
            let Some(controller) = self.instances.get_mut(&server) else { continue };
            loop {
                match catch_unwind(AssertUnwindSafe(|| controller.next_decision(now))) {
                    Ok(Some(decision)) => tell(reply, &|r| wire::write_decision(r, &decision)),
                    Ok(None) => break,
                    Err(panic) => {
                        let text = panic_text(&*panic);
                        tell(reply, &|r| r.push_str(&give_in(&text)));
                        break;
                    }
                }
            }
        }
        reply.push_str("READY\n");
    }
}

fn hear(
    controller: &mut AdmissionController,
    now: Timestamp,
    name: &str,
    fields: Fields,
) -> Result<(), String> {
    match name {
        "CALL" => {
            let bits: u32 = fields.optional("bits")?.unwrap_or(0);
            let due = fields.optional("give-up-at-us")?.filter(|at| *at > 0).map(Timestamp::from_us);
            let cost = fields.optional("cost-us")?.filter(|_| bits & 1 != 0).map(Duration::from_us);
            let retry_of = match fields.get("prior") {
                None | Some("0" | "") => None,
                Some(_) => Some(fields.request("prior")?),
            };
            let new = NewRequest {
                id: fields.request("request-id")?,
                class: RequestClassId(fields.need("class")?),
                tenant: TenantId(fields.optional("realm")?.unwrap_or(0)),
                session: fields.get("name-key").filter(|key| !key.is_empty()).map(SessionKey::of),
                client: ClientId(fields.optional("neighbour")?.unwrap_or(0)),
                deadline: due,
                cost,
                size_kb: fields.number("kb", 0.0)?,
                age: Duration::from_us(fields.optional("age-us")?.unwrap_or(0)),
                is_write: bits & 4 != 0,
                retry_of,
            };
            controller.request_received(now, new);
        }
        "WANTS_CALL" => controller.call_requested(now, fields.request("request-id")?),
        "DEP_REPLY" => controller.call_finished(now, fields.request("request-id")?, wire::outcome(fields)?),
        "COMPLETED" => controller.run_finished(now, fields.request("request-id")?, wire::outcome(fields)?),
        "DROPPED" => controller.request_abandoned(fields.request("request-id")?),
        "TIMER" => {
            let gauges = fields.get("telemetry").unwrap_or("");
            let read = |pair: &str| {
                let (name, value) = pair.split_once(':')?;
                Some((name.to_string(), value.parse().ok().filter(|v: &f64| v.is_finite())?))
            };
            let gauges: Option<Vec<(String, f64)>> =
                gauges.split(',').filter(|pair| !pair.is_empty()).map(read).collect();
            let gauges = gauges.ok_or("field telemetry is unreadable")?;
            let on_cores = gauges.iter().find(|(name, _)| name == wire::REQUESTS_ON_CORES_GAUGE);
            let gauges = RuntimeGauges { requests_on_cores: on_cores.map(|(_, value)| *value) };
            controller.timer_tick(now, gauges);
        }
        "QUIESCE" => controller.shutdown_notice(now, Timestamp::from_us(fields.need("give-up-at-us")?)),
        _ => {}
    }
    Ok(())
}
