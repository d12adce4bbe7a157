//! The link to the runtime: commands out, notices in, and what is still unanswered when the link breaks.

use crate::clock::{long, sleep};
use crate::request::dispatcher::{Dispatcher, News};
use crate::upstream::peers::Peers;
use hazelspur::{Duration, Outcome, RequestId, RuntimeGauges, Timestamp};
use hazelspur_parsers::{Buffer, runtime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const PAUSE: Duration = Duration::from_ms(20);
const LONGEST_PAUSE: Duration = Duration::from_ms(500);
/// How long a dial may take: more after each that took too long. No second one beside it: a new link takes
/// the place of the one before, also one that nobody uses.
const DIALLING: Duration = Duration::from_ms(3000);
const LONGEST_DIALLING: Duration = Duration::from_ms(12_000);
/// The replay is over when the gauges asked for behind it come; they are not waited for longer than this.
const REPLAYED: &str = "link";
const REPLAY: Duration = Duration::from_ms(2000);
/// A link that says nothing for so long is made anew.
const IDLE_TIMEOUT: Duration = Duration::from_ms(2500);
/// A runtime may come up long after its link was taken, and says nothing until then; whether the link still
/// leads anywhere is tried so often.
const UNREADY_TIMEOUT: Duration = Duration::from_ms(4000);
/// The module compares gauges with what it knows at that moment, so they are asked for when its timer is due
/// and used as they come; past this the timer goes without.
const GAUGES_WITHIN: Duration = Duration::from_ms(2);
/// The name under which the runtime gives the requests on its cores.
const REQUESTS_ON_CORES_GAUGE: &str = "on_cores";

/// A run, and the commands on it that no notice has answered yet.
struct Run {
    class: Arc<str>,
    body: Rc<[u8]>,
    started: bool,
    /// Whether its start has gone out on any link.
    sent: bool,
    /// The reply given last, and the tick in which it was.
    given: Option<(Vec<u8>, u64)>,
    stopped: bool,
}

pub struct Link {
    dispatcher: Rc<Dispatcher>,
    peers: Rc<Peers>,
    gauge_names: Vec<String>,
    runs: RefCell<BTreeMap<RequestId, Run>>,
    last: Cell<u64>,
    /// Only while this holds do commands go out; else they wait in `runs`.
    up: Cell<bool>,
    /// The replay of which link is over, so that what an older link brought does not count.
    links: Cell<u64>,
    replayed: Cell<u64>,
    fenced: Notify,
    out: RefCell<Vec<u8>>,
    more: Notify,
    /// The tick for which gauges are asked, and what has come for it.
    tick: Cell<u64>,
    /// The last tick whose gauges came: what went out before they were asked for has been read.
    heard: Cell<u64>,
    gauges: RefCell<Option<Vec<f64>>>,
    gauges_came: Notify,
    /// When something last came over a link that was up: a runtime that began after that is another.
    heard_at: Cell<Option<Timestamp>>,
    state: Cell<Option<(bool, Duration)>>,
    state_known: Notify,
}

impl Link {
    pub fn new(dispatcher: Rc<Dispatcher>, peers: Rc<Peers>, gauge_names: Vec<String>) -> Self {
        Self {
            dispatcher,
            peers,
            gauge_names,
            runs: RefCell::default(),
            last: Cell::new(0),
            up: Cell::new(false),
            links: Cell::new(0),
            replayed: Cell::new(0),
            fenced: Notify::new(),
            out: RefCell::default(),
            more: Notify::new(),
            tick: Cell::new(0),
            heard: Cell::new(0),
            gauges: RefCell::default(),
            gauges_came: Notify::new(),
            heard_at: Cell::default(),
            state: Cell::new(None),
            state_known: Notify::new(),
        }
    }

    /// Whether the runtime started hot, and how long it is up; waits until it is.
    pub async fn ready(&self) -> (bool, Duration) {
        loop {
            if let Some(state) = self.state.get() {
                return state;
            }
            self.state_known.notified().await;
        }
    }

    pub fn start(&self, request: RequestId, class: Arc<str>, body: Rc<[u8]>) {
        self.send(|out| runtime::start(out, &request.to_string(), &class, &body));
        let run = Run { class, body, started: true, sent: self.up.get(), given: None, stopped: false };
        self.runs.borrow_mut().insert(request, run);
    }

    pub fn stop(&self, request: RequestId) {
        self.send(|out| runtime::stop(out, &request.to_string()));
        if let Some(run) = self.runs.borrow_mut().get_mut(&request) {
            run.stopped = true;
        }
    }

    pub fn give(&self, request: RequestId, reply: Vec<u8>) {
        self.send(|out| runtime::give(out, &request.to_string(), &reply));
        if let Some(run) = self.runs.borrow_mut().get_mut(&request) {
            run.given = Some((reply, self.tick.get()));
        }
    }

    fn send(&self, write: impl FnOnce(&mut Vec<u8>)) {
        if self.up.get() {
            write(&mut self.out.borrow_mut());
            self.more.notify_one();
        }
    }

    /// Keeps the link: connects, lets the runtime replay, re-sends, and again after each break. Where a new
    /// configuration moves the runtime, the link goes over at once.
    pub async fn run(self: Rc<Self>) {
        loop {
            let address = self.peers.now().runtime;
            tokio::select! {
                () = self.keep_to(address) => {}
                () = self.peers.left(|at| at.runtime, address) => {
                    self.up.set(false);
                    log::info!(last = self.last.get(), to:% = self.peers.now().runtime; "runtime link moves");
                }
            }
        }
    }

    async fn keep_to(&self, address: SocketAddr) {
        let (mut pause, mut dialling) = (PAUSE, DIALLING);
        loop {
            match tokio::time::timeout(long(dialling), TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    pause = PAUSE;
                    let why = self.serve(stream).await;
                    self.up.set(false);
                    log::warn!(last = self.last.get(), why; "runtime link broke");
                }
                Ok(Err(_)) => log::debug!("runtime link refused"),
                Err(_) => dialling = (dialling + dialling).min(LONGEST_DIALLING),
            }
            sleep(pause).await;
            pause = (pause + pause).min(LONGEST_PAUSE);
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> String {
        let _ = stream.set_nodelay(true);
        let link = self.links.get() + 1;
        self.links.set(link);
        let (mut read, mut write) = stream.split();
        let mut out = std::mem::take(&mut *self.out.borrow_mut());
        out.clear();
        runtime::sync(&mut out, self.last.get());
        if let Err(e) = write.write_all(&out).await {
            return e.to_string();
        }
        let mut buffer = Buffer::default();
        let reading = async {
            loop {
                // While it is up, gauges are asked for at every tick, so something comes.
                let silent = if self.up.get() { IDLE_TIMEOUT } else { UNREADY_TIMEOUT };
                let came = tokio::time::timeout(long(silent), read.read_buf(buffer.room())).await;
                match came.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
                    Ok(0) => return "closed".to_string(),
                    Ok(_) if self.up.get() => self.heard_at.set(Some(self.dispatcher.clock.steady())),
                    Ok(_) => {}
                    Err(e) => return e.to_string(),
                }
                loop {
                    match runtime::read(buffer.unread(), &mut Notices(self)) {
                        Ok(Some(used)) => buffer.take(used),
                        Ok(None) => break,
                        Err(e) => return e.to_string(),
                    }
                }
            }
        };
        let writing = async {
            self.ready().await;
            let mut out = Vec::new();
            runtime::gauges(&mut out, &format!("{REPLAYED}{link}"));
            loop {
                if let Err(e) = write.write_all(&out).await {
                    return e.to_string();
                }
                out.clear();
                if !self.up.get() {
                    let replay = async {
                        while self.replayed.get() < link {
                            self.fenced.notified().await;
                        }
                    };
                    if tokio::time::timeout(long(REPLAY), replay).await.is_err() {
                        return "no end of the replay".to_string();
                    }
                    self.resend(&mut out);
                    self.up.set(true);
                    continue;
                }
                self.more.notified().await;
                tokio::task::yield_now().await;
                std::mem::swap(&mut out, &mut *self.out.borrow_mut());
            }
        };
        tokio::select! { why = reading => why, why = writing => why }
    }

    /// All replayed notices have been taken: whatever they did not answer goes out again.
    fn resend(&self, out: &mut Vec<u8>) {
        let mut again = 0;
        for (request, run) in self.runs.borrow_mut().iter_mut() {
            let (id, before) = (request.to_string(), out.len());
            run.sent = true;
            if run.started {
                runtime::start(out, &id, &run.class, &run.body);
            }
            // A reply that has been read must not be given once more: the run may want another by now.
            if let Some((reply, tick)) = &run.given
                && *tick >= self.heard.get()
            {
                runtime::give(out, &id, reply);
            }
            if run.stopped {
                runtime::stop(out, &id);
            }
            again += usize::from(out.len() > before);
        }
        log::info!(last = self.last.get(), runs = self.runs.borrow().len(), again; "runtime link up");
    }

    /// Calls the module's timer when it asks to be woken, with gauges if fresh ones have come in time.
    pub async fn tick(self: Rc<Self>) {
        loop {
            let Some(at) = self.dispatcher.wake.take() else {
                self.dispatcher.wake_set.notified().await;
                continue;
            };
            self.dispatcher.clock.sleep_until(at).await;
            let gauges = tokio::time::timeout(long(GAUGES_WITHIN), self.fresh_gauges()).await;
            let gauges = gauges.unwrap_or_default();
            let mut named = self.gauge_names.iter().zip(gauges);
            let on_cores = named.find(|(name, _)| *name == REQUESTS_ON_CORES_GAUGE);
            let gauges = RuntimeGauges { requests_on_cores: on_cores.map(|(_, value)| value) };
            self.dispatcher.tell(|controller, now| controller.timer_tick(now, gauges));
        }
    }

    async fn fresh_gauges(&self) -> Vec<f64> {
        self.tick.set(self.tick.get() + 1);
        self.gauges.take();
        self.send(|out| runtime::gauges(out, &self.tick.get().to_string()));
        loop {
            if let Some(gauges) = self.gauges.take() {
                return gauges;
            }
            self.gauges_came.notified().await;
        }
    }

    /// Another runtime: its notices are numbered anew, and what the one before was given may have run there.
    fn restarted(&self) {
        self.last.set(0);
        let (gone, unsent): (BTreeMap<_, _>, _) = self.runs.take().into_iter().partition(|(_, run)| run.sent);
        self.runs.replace(unsent);
        log::warn!(runs = gone.len(); "runtime restarted");
        for request in gone.into_keys() {
            self.dispatcher.hand(request, News::Ended(Outcome::Error, Rc::from([])));
        }
    }

    fn unseen(&self, number: u64) -> bool {
        let unseen = number > self.last.get();
        self.last.set(number.max(self.last.get()));
        unseen
    }
}

/// Takes notices as they are decoded.
struct Notices<'a>(&'a Link);

impl runtime::Listener for Notices<'_> {
    fn ready(&mut self, hot: bool, since_ms: u64) {
        let link = self.0;
        let began = link.dispatcher.clock.steady().back(Duration::from_ms(since_ms));
        if link.heard_at.get().is_some_and(|heard| began > heard) {
            link.restarted();
        }
        if link.state.replace(Some((hot, Duration::from_ms(since_ms)))).is_none() {
            log::info!(hot, up_ms = since_ms; "runtime ready");
        }
        link.state_known.notify_waiters();
    }

    fn end(&mut self, number: u64, id: &str, end: &str, result: &[u8]) {
        let Some(request) = RequestId::padded(id).filter(|_| self.0.unseen(number)) else { return };
        self.0.runs.borrow_mut().remove(&request);
        let outcome = match end {
            "complete" => Outcome::Ok,
            "cancelled" => Outcome::Preempted,
            "unknown" => Outcome::NeverStarted,
            _ => Outcome::Error,
        };
        self.0.dispatcher.hand(request, News::Ended(outcome, result.into()));
    }

    fn wants(&mut self, number: u64, id: &str, body: &[u8]) {
        let Some(request) = RequestId::padded(id).filter(|_| self.0.unseen(number)) else { return };
        if let Some(run) = self.0.runs.borrow_mut().get_mut(&request) {
            run.started = false;
            run.given = None;
        }
        self.0.dispatcher.hand(request, News::Wants(body.to_vec()));
    }

    fn load(&mut self, tag: &str, values: &[f64]) {
        if let Some(link) = tag.strip_prefix(REPLAYED).and_then(|link| link.parse().ok()) {
            self.0.replayed.set(link);
            self.0.fenced.notify_one();
        } else if tag.parse() == Ok(self.0.tick.get()) {
            self.0.heard.set(self.0.tick.get());
            self.0.gauges.replace(Some(values.to_vec()));
            self.0.gauges_came.notify_one();
        }
    }

    fn nack(&mut self, command: &str, id: &str) {
        // Anybody may send requests that the runtime does not know: no line for each.
        log::debug!(command, id; "runtime nack");
        let Some(request) = RequestId::padded(id) else { return };
        if command == "start" && self.0.runs.borrow_mut().remove(&request).is_some() {
            self.0.dispatcher.hand(request, News::Unknown);
        }
    }

    fn info(&mut self, number: u64, text: &str) {
        if self.0.unseen(number) {
            log::debug!("runtime info {text}");
        }
    }
}
