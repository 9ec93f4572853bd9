//! At most one start, true refusals and whole answers over random schedules.
//!
//! Each schedule mixes kills, frozen and waking homes, planned stops, cut
//! links, lost, late and repeated messages, refusals, dying targets, a store
//! that is down, and resends through other hosts. The model counts the starts
//! at the targets. Each fault switches one rule off and must be found out.

use std::collections;
use std::sync;
use std::time;

use arbtest::arbitrary;
use rand::Rng as _;
use rand::SeedableRng as _;
use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::timestamp;
use skylark_testing as testing;

const SCHEDULES: u64 = 4_000;
const STEPS: usize = 400;
const BYTES: usize = 8_192;
const HOSTS: usize = 4;
const REQUESTS: usize = 6;
const ATTEMPTS: u32 = 6;
const START_SECONDS: u64 = 1_765_000_000;

/// A rule that a schedule runs without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The receiver starts a request whose home it cannot reach.
    TakesOver,
    /// The home forgets keys but goes on starting what it does not know.
    ForgetsFreely,
    /// The home sends a request again when its exchange broke.
    SendsAgain,
    /// The home refuses without closing the key.
    LeavesOpen,
    /// The receiver calls a request "not run" whose answer it lost.
    DeniesPassed,
    /// The receiver calls a later attempt "not run" that it passed to nobody.
    DeniesLater,
    /// The copy of a home that was killed is taken as whole.
    TrustsCopy,
    /// A key's fingerprint is not compared.
    IgnoresPrint,
    /// A part of an answer counts as the answer.
    TakesParts,
}

#[derive(Default, Debug, PartialEq, Eq)]
struct Broken {
    twice: usize,
    untrue: usize,
    wrong: usize,
    starts: usize,
    replays: usize,
    refusals: usize,
}

type Drawn<T> = arbitrary::Result<T>;

#[derive(Clone, Debug)]
enum Event {
    Arrive(Call),
    Pass(Call),
    PassLost(Call),
    Decided(Call, Reply),
    Exchange {
        life: usize,
        run: usize,
        call: Call,
    },
    Back {
        life: usize,
        run: usize,
        call: Call,
        reply: Option<Reply>,
    },
    Flush(usize),
    Tell(Call, Reply),
}

/// One attempt of a request at a receiver.
#[derive(Clone, Debug)]
struct Call {
    request: usize,
    attempt: u32,
    receiver: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Answer(Vec<u8>),
    Refusal(kind::Outcome),
}

struct Request {
    key: idempotency::Key,
    print: idempotency::Fingerprint,
    attempt: u32,
    is_denied: bool,
    answers: collections::BTreeSet<Vec<u8>>,
    starts: usize,
}

/// One life of an entry process; a receiver and a home at once.
struct Life {
    name: name::Incarnation,
    ledger: idempotency::Ledger,
    permits: collections::HashMap<usize, idempotency::Permit>,
    waiting: collections::HashMap<idempotency::Id, Vec<Call>>,
    pending: Vec<idempotency::Entry>,
    is_alive: bool,
    is_frozen: bool,
    is_leaving: bool,
}

#[derive(Default)]
struct Store {
    is_down: bool,
    pages: collections::HashMap<usize, idempotency::Page>,
    ends: collections::HashMap<usize, idempotency::EndMarker>,
}

struct World {
    fault: Fault,
    now: instant::Instant,
    lives: Vec<Life>,
    hosts: Vec<usize>,
    cuts: collections::HashSet<(usize, usize)>,
    requests: Vec<Request>,
    queue: Vec<Event>,
    store: Store,
    runs: usize,
    served: usize,
    broken: Broken,
}

fn limits() -> idempotency::Limits {
    idempotency::Limits {
        retention: time::Duration::from_mins(3),
        max_skew: time::Duration::from_mins(1),
        max_keys: 64,
        max_response_bytes: 400,
    }
}

fn life(index: usize) -> Life {
    let origin = timestamp::Timestamp::from_millis(START_SECONDS * 1_000);
    Life {
        name: name::Incarnation::new(&format!("life-{index}")).expect("a name"),
        ledger: idempotency::Ledger::new(limits(), origin),
        permits: collections::HashMap::new(),
        waiting: collections::HashMap::new(),
        pending: Vec::new(),
        is_alive: true,
        is_frozen: false,
        is_leaving: false,
    }
}

impl World {
    fn new(fault: Fault, u: &mut arbitrary::Unstructured<'_>) -> Drawn<Self> {
        let mut world = Self {
            fault,
            now: instant::Instant::ORIGIN,
            lives: (0..HOSTS).map(life).collect(),
            hosts: (0..HOSTS).collect(),
            cuts: collections::HashSet::new(),
            requests: Vec::new(),
            queue: Vec::new(),
            store: Store::default(),
            runs: 0,
            served: 0,
            broken: Broken::default(),
        };
        for index in 0..REQUESTS {
            let home = u.choose_index(HOSTS)?;
            let issued = START_SECONDS + u.int_in_range(0..=40)?;
            let home = idempotency::Home::new(&world.lives[home].name, issued);
            let mut key = idempotency::Key::new(&format!("{home}.{index:08x}")).expect("a key");
            if index > 0 && u.ratio(1, 5)? {
                key = world.requests[index - 1].key.clone();
            }
            let account = name::Account::new(&format!("account-{index}")).expect("a name");
            let print = idempotency::Fingerprint::new(Some(&account), "POST", "/orders", b"oars");
            world.requests.push(Request {
                key,
                print,
                attempt: 0,
                is_denied: false,
                answers: collections::BTreeSet::new(),
                starts: 0,
            });
        }
        Ok(world)
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> Drawn<()> {
        self.now = self.now + time::Duration::from_millis(u.int_in_range(0..=900)?);
        match u.int_in_range(0..=39)? {
            0..=5 => self.call(u)?,
            6 => self.disturb(u)?,
            7 => self.store.is_down = u.ratio(1, 2)?,
            8 => self.now = self.now + time::Duration::from_secs(u.int_in_range(0..=60)?),
            9 => {
                let life = self.hosts[u.choose_index(HOSTS)?];
                self.queue.push(Event::Flush(life));
            }
            _ => self.deliver(u)?,
        }
        Ok(())
    }

    fn disturb(&mut self, u: &mut arbitrary::Unstructured<'_>) -> Drawn<()> {
        let host = u.choose_index(HOSTS)?;
        let current = self.hosts[host];
        match u.int_in_range(0..=6)? {
            0 => self.end(host),
            1 => self.lives[current].is_frozen = true,
            2 | 3 => self.lives[current].is_frozen = false,
            4 => {
                self.cuts.insert((host, u.choose_index(HOSTS)?));
            }
            5 => self.cuts.clear(),
            _ => {
                self.lives[current].is_leaving = true;
                self.lives[current].ledger.leave();
            }
        }
        Ok(())
    }

    /// Ends a life; a new one takes its host's place.
    fn end(&mut self, host: usize) {
        self.lives[self.hosts[host]].is_alive = false;
        self.hosts[host] = self.lives.len();
        self.lives.push(life(self.lives.len()));
    }

    /// The caller gives its last attempt up and sends the next, to any host.
    fn call(&mut self, u: &mut arbitrary::Unstructured<'_>) -> Drawn<()> {
        let request = u.choose_index(REQUESTS)?;
        let receiver = self.hosts[u.choose_index(HOSTS)?];
        let known = &mut self.requests[request];
        if known.attempt < ATTEMPTS && !known.is_denied {
            known.attempt += 1;
            let attempt = known.attempt;
            self.queue.push(Event::Arrive(Call {
                request,
                attempt,
                receiver,
            }));
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut arbitrary::Unstructured<'_>) -> Drawn<()> {
        if self.queue.is_empty() {
            return Ok(());
        }
        let event = self.queue.swap_remove(u.choose_index(self.queue.len())?);
        if let Some(life) = self.place(&event)
            && self.lives[life].is_frozen
            && self.lives[life].is_alive
        {
            self.queue.push(event);
            return Ok(());
        }
        if self
            .place(&event)
            .is_some_and(|life| !self.lives[life].is_alive)
        {
            return Ok(());
        }
        if matches!(event, Event::Pass(_) | Event::Decided(..)) && u.ratio(1, 6)? {
            self.queue.push(event.clone());
        }
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Pass(call) => self.pass(call, u)?,
            Event::PassLost(call) => self.pass_lost(call),
            Event::Decided(call, reply) | Event::Tell(call, reply) => self.tell(&call, reply),
            Event::Exchange { life, run, call } => self.exchange(life, run, call, u)?,
            Event::Back {
                life,
                run,
                call,
                reply,
            } => self.back(life, run, call, reply, u)?,
            Event::Flush(life) => self.flush(life),
        }
        Ok(())
    }

    /// The life at which an event takes place, if it needs one to be awake.
    fn place(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Arrive(call) | Event::PassLost(call) | Event::Decided(call, _) => {
                Some(call.receiver)
            }
            Event::Pass(call) => Some(self.home(call)),
            Event::Back { life, .. } | Event::Flush(life) => Some(*life),
            Event::Exchange { .. } | Event::Tell(..) => None,
        }
    }

    fn home(&self, call: &Call) -> usize {
        let home = self.requests[call.request].key.home().expect("a home");
        let text = home.incarnation.as_str();
        text["life-".len()..].parse().expect("a number")
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let host = |life: usize| self.hosts.iter().position(|l| *l == life);
        match (host(from), host(to)) {
            (Some(from), Some(to)) => self.cuts.contains(&(from, to)) && from != to,
            _ => true,
        }
    }

    fn arrive(&mut self, call: Call) {
        let home = self.home(&call);
        if !self.lives[home].is_alive || self.is_cut(call.receiver, home) {
            self.unreached(call);
            return;
        }
        self.queue.push(Event::PassLost(call.clone()));
        self.queue.push(Event::Pass(call));
    }

    fn unreached(&mut self, call: Call) {
        let request = &self.requests[call.request];
        let home = self.home(&call);
        if self.fault == Fault::TakesOver {
            let permit = {
                let (key, print) = (request.key.clone(), request.print);
                self.lives[call.receiver]
                    .ledger
                    .begin(self.now, &key, print)
            };
            self.act(call.receiver, call, permit);
            return;
        }
        let page = self.store.pages.get(&home).cloned().unwrap_or_default();
        let mut end = self.store.ends.get(&home).copied();
        if self.fault == Fault::TrustsCopy {
            end = Some(idempotency::EndMarker { floor: 0 });
        }
        let known = (!self.store.is_down)
            .then(|| idempotency::resolve(&request.key, request.print, &[page], end))
            .flatten();
        let attempt = match (call.attempt, self.fault) {
            (_, Fault::DeniesLater) | (1, _) => idempotency::Attempt::First,
            _ => idempotency::Attempt::Later,
        };
        let reply = match known {
            Some(begin) => reply(&begin),
            None => Reply::Refusal(idempotency::Progress::NotForwarded.outcome(attempt)),
        };
        self.queue.push(Event::Tell(call, reply));
    }

    fn pass_lost(&mut self, call: Call) {
        let outcome = match self.fault {
            Fault::DeniesPassed => kind::Outcome::NotRun,
            _ => idempotency::Progress::Forwarded
                .outcome(idempotency::Attempt::parse(Some(&call.attempt.to_string()))),
        };
        self.queue.push(Event::Tell(call, Reply::Refusal(outcome)));
    }

    fn pass(&mut self, call: Call, u: &mut arbitrary::Unstructured<'_>) -> Drawn<()> {
        let home = self.home(&call);
        let request = &self.requests[call.request];
        let (key, print) = match self.fault {
            Fault::IgnoresPrint => (request.key.clone(), self.requests[0].print),
            _ => (request.key.clone(), request.print),
        };
        let ledger = &mut self.lives[home].ledger;
        if self.fault == Fault::ForgetsFreely && u.ratio(1, 3)? {
            let origin = timestamp::Timestamp::from_millis(START_SECONDS * 1_000);
            *ledger = idempotency::Ledger::new(limits(), origin);
        }
        if u.ratio(1, 6)? {
            let kind = kind::ErrorKind::OverRate;
            let begin = match self.fault {
                Fault::LeavesOpen => idempotency::Disposition::Refused(kind),
                _ => ledger.refuse(self.now, &key, print, kind),
            };
            self.act(home, call, begin);
            return Ok(());
        }
        let begin = ledger.begin(self.now, &key, print);
        self.act(home, call, begin);
        Ok(())
    }

    /// The home acts on what its ledger says.
    fn act(&mut self, home: usize, call: Call, begin: idempotency::Disposition) {
        match begin {
            idempotency::Disposition::Start(permit) => {
                self.runs += 1;
                let run = self.runs;
                self.lives[home].permits.insert(run, permit);
                let life = home;
                let lost = call.clone();
                self.queue.push(Event::Exchange { life, run, call });
                self.queue.push(Event::Back {
                    life,
                    run,
                    call: lost,
                    reply: None,
                });
            }
            idempotency::Disposition::Running => {
                let id = self.requests[call.request].key.id();
                self.lives[home].waiting.entry(id).or_default().push(call);
            }
            other => {
                let reply = reply(&other);
                self.queue.push(Event::Decided(call, reply));
            }
        }
    }

    /// The request reaches a target, which may die, answer in part, or decline.
    fn exchange(
        &mut self,
        life: usize,
        run: usize,
        call: Call,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> Drawn<()> {
        if u.ratio(1, 8)? {
            let reply = Some(Reply::Refusal(kind::Outcome::NotRun));
            self.queue.push(Event::Back {
                life,
                run,
                call,
                reply,
            });
            return Ok(());
        }
        self.requests[call.request].starts += 1;
        self.served += 1;
        let whole = format!("{:08}-{}", self.served, call.request).into_bytes();
        let reply = match u.int_in_range(0..=5)? {
            1 if self.fault == Fault::TakesParts => Some(Reply::Answer(whole[..4].to_vec())),
            0 | 1 => None,
            _ => Some(Reply::Answer(whole)),
        };
        self.queue.push(Event::Back {
            life,
            run,
            call,
            reply,
        });
        Ok(())
    }

    fn back(
        &mut self,
        life: usize,
        run: usize,
        call: Call,
        reply: Option<Reply>,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> Drawn<()> {
        let Some(permit) = self.lives[life].permits.remove(&run) else {
            return Ok(());
        };
        if reply.is_none() && self.fault == Fault::SendsAgain && u.ratio(1, 2)? {
            self.lives[life].permits.insert(run, permit);
            self.queue.push(Event::Exchange { life, run, call });
            return Ok(());
        }
        let fate = match reply {
            Some(Reply::Answer(body)) => {
                idempotency::FinalState::Answered(sync::Arc::new(idempotency::Response {
                    target: name::Target::new("target-1").expect("a name"),
                    status: 200,
                    fields: Vec::new(),
                    body,
                }))
            }
            Some(Reply::Refusal(_)) => idempotency::FinalState::Refused(kind::ErrorKind::NoTarget),
            None => idempotency::FinalState::Lost,
        };
        let request = &self.requests[call.request];
        let (key, print) = (request.key.clone(), request.print);
        let told = idempotency::Entry {
            id: key.id(),
            fingerprint: print,
            final_state: fate.clone(),
        };
        let reply = self::reply(&told.disposition(print));
        let home = &mut self.lives[life];
        home.pending.extend(home.ledger.finish(permit, fate));
        let waiting = home.waiting.remove(&key.id()).unwrap_or_default();
        for call in waiting.into_iter().chain([call]) {
            self.queue.push(Event::Decided(call, reply.clone()));
        }
        Ok(())
    }

    fn flush(&mut self, life: usize) {
        if self.store.is_down {
            return;
        }
        let home = &mut self.lives[life];
        let page = self.store.pages.entry(life).or_default();
        page.entries.append(&mut home.pending);
        if let Some(end) = home.ledger.end_marker() {
            self.store.ends.insert(life, end);
            let host = self.hosts.iter().position(|l| *l == life).expect("a host");
            self.end(host);
        }
    }

    /// The caller hears only the attempt that it still waits for.
    fn tell(&mut self, call: &Call, reply: Reply) {
        let request = &mut self.requests[call.request];
        if request.attempt != call.attempt {
            return;
        }
        match reply {
            Reply::Refusal(kind::Outcome::NotRun) => {
                self.broken.refusals += 1;
                request.is_denied = true;
            }
            Reply::Refusal(kind::Outcome::Unknown) => {}
            Reply::Answer(body) => {
                self.broken.replays += usize::from(call.attempt > 1);
                let own = format!("-{}", call.request).into_bytes();
                self.broken.wrong += usize::from(!body.ends_with(&own));
                request.answers.insert(body);
            }
        }
    }

    fn close(mut self) -> Broken {
        let mut starts: collections::HashMap<&str, usize> = collections::HashMap::new();
        for request in &self.requests {
            *starts.entry(request.key.as_str()).or_default() += request.starts;
            self.broken.starts += request.starts;
            self.broken.untrue += usize::from(request.is_denied && request.starts > 0);
            self.broken.wrong += request.answers.len().saturating_sub(1);
        }
        self.broken.twice += starts.values().filter(|count| **count > 1).count();
        self.broken
    }
}

fn reply(begin: &idempotency::Disposition) -> Reply {
    match begin {
        idempotency::Disposition::Replay(answer) => Reply::Answer(answer.body.clone()),
        other => {
            let refusal = other.refusal();
            Reply::Refusal(refusal.map_or(kind::Outcome::Unknown, |(_kind, outcome)| outcome))
        }
    }
}

fn run(fault: Fault, u: &mut arbitrary::Unstructured<'_>) -> Drawn<Broken> {
    let mut world = World::new(fault, u)?;
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        world.step(u)?;
    }
    Ok(world.close())
}

fn schedules(fault: Fault, count: u64) -> Broken {
    let mut total = Broken::default();
    for seed in 0..count {
        let mut bytes = vec![0; BYTES];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let one = run(fault, &mut arbitrary::Unstructured::new(&bytes)).expect("bytes enough");
        if fault == Fault::None {
            assert_eq!((one.twice, one.untrue, one.wrong), (0, 0, 0), "seed {seed}");
        }
        total.twice += one.twice;
        total.untrue += one.untrue;
        total.wrong += one.wrong;
        total.starts += one.starts;
        total.replays += one.replays;
        total.refusals += one.refusals;
    }
    println!("{fault:?} over {count} schedules: {total:?}");
    total
}

#[test]
fn each_key_starts_at_most_once_and_each_refusal_is_true() {
    let total = schedules(Fault::None, SCHEDULES);
    assert!(total.starts > 0 && total.replays > 0 && total.refusals > 0);
}

#[test]
fn random_schedules_beyond_the_fixed_ones_hold_too() {
    testing::check_cases(400, 16_384, |u| {
        let one = run(Fault::None, u)?;
        assert_eq!((one.twice, one.untrue, one.wrong), (0, 0, 0));
        Ok(())
    });
}

#[test]
fn a_host_that_takes_a_key_over_starts_it_twice() {
    assert!(schedules(Fault::TakesOver, SCHEDULES).twice > 0);
}

#[test]
fn a_home_that_forgets_without_a_floor_starts_twice() {
    assert!(schedules(Fault::ForgetsFreely, SCHEDULES).twice > 0);
}

#[test]
fn a_request_sent_again_after_a_broken_exchange_starts_twice() {
    assert!(schedules(Fault::SendsAgain, SCHEDULES).twice > 0);
}

#[test]
fn a_refusal_that_does_not_close_its_key_becomes_untrue() {
    assert!(schedules(Fault::LeavesOpen, SCHEDULES).untrue > 0);
}

#[test]
fn not_run_for_a_lost_answer_of_the_home_is_untrue() {
    assert!(schedules(Fault::DeniesPassed, SCHEDULES).untrue > 0);
}

#[test]
fn not_run_for_a_later_attempt_is_untrue() {
    assert!(schedules(Fault::DeniesLater, SCHEDULES).untrue > 0);
}

#[test]
fn a_killed_home_s_copy_taken_as_whole_makes_refusals_untrue() {
    assert!(schedules(Fault::TrustsCopy, SCHEDULES).untrue > 0);
}

#[test]
fn a_fingerprint_that_is_not_compared_gives_away_another_s_answer() {
    assert!(schedules(Fault::IgnoresPrint, SCHEDULES).wrong > 0);
}

#[test]
fn a_part_of_an_answer_is_found_out() {
    assert!(schedules(Fault::TakesParts, SCHEDULES).wrong > 0);
}
