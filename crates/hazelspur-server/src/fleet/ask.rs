//! `hazelspur-server fleet FILE`: asks the server that the file sets up for its picture of the fleet. The
//! question is sealed with the installation's key, so strangers get no answer.

use crate::config::command::Shape;
use crate::config::fleet_keys::Fleet;
use comfy_table::{Table, presets};
use hazelspur::Timestamp;
use hazelspur_fleet::load_reports::AggregatedLoad;
use hazelspur_fleet::talk::{self, Body, Datagram, ShownRow};
use hazelspur_fleet::{Claim, Condition, Generation, LimitName, MemberName, Says, SiteName, Size};
use serde::Serialize;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An answer is waited for so long, and asked for again so often.
const WITHIN: Duration = Duration::from_millis(400);
const TRIES: u32 = 5;
/// Rows that are taken; no table of a server holds more.
const MAX_SHOWN: usize = 8192;

#[derive(Serialize)]
pub struct Shown {
    name: MemberName,
    site: SiteName,
    at: SocketAddr,
    generation: Generation,
    condition: Condition,
    fleet: Size,
    sites: std::collections::BTreeMap<String, Size>,
    members: Vec<Member>,
    choices: Choices,
}

/// What the server goes by that all have in common.
#[derive(Serialize, Default)]
struct Choices {
    divider: Option<MemberName>,
    given: Option<f32>,
    holders: Option<u32>,
    shares: Vec<Share>,
    ledger: &'static str,
    trouble: &'static str,
    pace: f32,
    refused: f32,
    common: Option<AggregatedLoad>,
}

#[derive(Serialize)]
struct Share {
    limit: LimitName,
    amount: f32,
    floor: f32,
    ends_in_s: Option<f64>,
}

impl From<talk::Shown> for Choices {
    fn from(shown: talk::Shown) -> Self {
        let share = |(limit, amount, floor, ends): (LimitName, f32, f32, Option<u32>)| Share {
            limit,
            amount,
            floor,
            ends_in_s: ends.map(|ms| f64::from(ms) / 1000.0),
        };
        Self {
            divider: shown.divider,
            given: shown.given.map(|(given, _)| given),
            holders: shown.given.map(|(_, holders)| holders),
            shares: shown.shares.into_iter().map(share).collect(),
            ledger: if shown.shut { "out of reach" } else { "in reach" },
            trouble: shown.whose.name(),
            pace: shown.word.latency_ratio,
            refused: shown.word.rejected_fraction,
            common: shown.common,
        }
    }
}

#[derive(Serialize)]
struct Member {
    name: MemberName,
    site: SiteName,
    at: SocketAddr,
    generation: Generation,
    state: &'static str,
    since_s: f64,
    word_s: f64,
    by: MemberName,
    heard_s: Option<f64>,
}

impl From<ShownRow> for Member {
    fn from(row: ShownRow) -> Self {
        let secs = |ms: u64| ms as f64 / 1000.0;
        Self {
            name: row.claim.name,
            site: row.claim.site,
            at: row.claim.at,
            generation: row.claim.generation,
            state: row.standing.name(),
            since_s: secs(row.since_ms),
            word_s: secs(row.word_ms),
            by: row.by,
            heard_s: row.heard_ms.map(secs),
        }
    }
}

/// Asks, part by part. Errors say what was tried.
pub fn ask(fleet: &Fleet) -> Result<Shown, String> {
    let key = fleet.key.as_ref().ok_or("fleet.key_file: not read")?;
    let to = fleet.listen.unwrap_or(fleet.at);
    // On the server's own address, so that the answer needs no other way.
    let socket = UdpSocket::bind((to.ip(), 0)).map_err(|e| format!("{}: {e}", to.ip()))?;
    let at = socket.local_addr().map_err(|e| e.to_string())?;
    socket.set_read_timeout(Some(WITHIN)).map_err(|e| e.to_string())?;
    let mut number = std::process::id();
    let mut after = None;
    let mut shown: Option<Shown> = None;
    let question = |body| Datagram {
        installation: fleet.installation,
        from: Claim {
            name: MemberName::new("operator").expect("a short name"),
            site: fleet.site,
            at,
            generation: Generation(0),
            incarnation: Default::default(),
            says: Says::Alive,
        },
        number: 1,
        sent_ms: now().us() / 1000,
        body,
        word: None,
        claims: Vec::new(),
    };
    loop {
        number = number.wrapping_add(1);
        let question = question(Body::Show { number, after });
        let (from, body) = exchange(&socket, to, &question, number, fleet, key)?;
        let Body::Shown { condition, fleet, sites, rows, next, .. } = body else { continue };
        let shown = shown.get_or_insert_with(|| Shown {
            name: from.name,
            site: from.site,
            at: from.at,
            generation: from.generation,
            condition,
            fleet,
            sites: sites.iter().map(|(site, size)| (site.to_string(), *size)).collect(),
            members: Vec::new(),
            choices: Choices::default(),
        });
        shown.members.extend(rows.into_iter().map(Member::from));
        if next.is_none() || next <= after || shown.members.len() >= MAX_SHOWN {
            break;
        }
        after = next;
    }
    let mut shown = shown.ok_or("nothing was shown")?;
    number = number.wrapping_add(1);
    let question = question(Body::ShowChoices { number });
    if let (_, Body::Choices { shown: choices, .. }) = exchange(&socket, to, &question, number, fleet, key)? {
        shown.choices = choices.into();
    }
    Ok(shown)
}

fn exchange(
    socket: &UdpSocket,
    to: SocketAddr,
    question: &Datagram,
    number: u32,
    fleet: &Fleet,
    key: &hazelspur_fleet::Key,
) -> Result<(Claim, Body), String> {
    let mut bytes = vec![0; talk::LONGEST + 1];
    for _ in 0..TRIES {
        socket.send_to(&talk::seal(key, question), to).map_err(|e| format!("{to}: {e}"))?;
        let until = Instant::now() + WITHIN;
        while Instant::now() < until {
            let Ok((length, _)) = socket.recv_from(&mut bytes) else { break };
            match talk::open(key, &fleet.installation, now(), &bytes[..length]) {
                Ok(Datagram { from, body, .. }) if is_answer(&body, number) => return Ok((from, body)),
                _ => {}
            }
        }
    }
    Err(format!("{to}: no answer; does a server run there, with this key and installation?"))
}

fn is_answer(body: &Body, asked: u32) -> bool {
    matches!(body, Body::Shown { number, .. } | Body::Choices { number, .. } if *number == asked)
}

fn now() -> Timestamp {
    Timestamp::from_us(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

pub fn print(shown: &Shown, shape: Shape) -> String {
    match shape {
        Shape::Json => serde_json::to_string_pretty(shown).unwrap_or_default() + "\n",
        Shape::Table => {
            let bounds = |size: &Size| format!("{} to {}", size.least, size.most);
            let mut text = format!(
                "{} at {} ({}), {}; fleet {}\n",
                shown.name,
                shown.at,
                shown.site,
                shown.condition.name(),
                bounds(&shown.fleet)
            );
            for (site, size) in &shown.sites {
                text += &format!("site {site}: {}\n", bounds(size));
            }
            let choices = &shown.choices;
            text += &format!("ledger {}, trouble: {}", choices.ledger, choices.trouble);
            if let Some(common) = &choices.common {
                text += &format!(
                    "; of {} servers in {} sites: pace {:.1}, unreached {:.2}, refused {:.2}",
                    common.reporters,
                    common.sites,
                    common.latency_ratio.unwrap_or(0.0),
                    common.unreachable_fraction,
                    common.rejected_fraction
                );
            }
            text += "\n";
            for share in &choices.shares {
                let lasts = share.ends_in_s.map_or("floor only".into(), |s| format!("ends in {s:.1} s"));
                let by = choices.divider.map_or("nobody".into(), |name| name.to_string());
                text += &format!(
                    "share of {}: {:.2} (floor {:.2}), {lasts}, divided by {by}\n",
                    share.limit, share.amount, share.floor
                );
            }
            if let (Some(given), Some(holders)) = (choices.given, choices.holders) {
                text += &format!("gives {given:.2} of the first limit's pool to {holders}\n");
            }
            let mut table = Table::new();
            table.load_style(presets::UTF8_BORDERS_ONLY);
            table.set_header([
                "member",
                "site",
                "state",
                "for s",
                "last word s ago",
                "from",
                "heard s ago",
                "at",
            ]);
            for member in &shown.members {
                let heard = member.heard_s.map_or("never".into(), |s| format!("{s:.1}"));
                table.add_row([
                    member.name.to_string(),
                    member.site.to_string(),
                    member.state.into(),
                    format!("{:.1}", member.since_s),
                    format!("{:.1}", member.word_s),
                    member.by.to_string(),
                    heard,
                    member.at.to_string(),
                ]);
            }
            text + &table.to_string() + "\n"
        }
    }
}
