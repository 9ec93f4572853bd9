//! Simulation of idempotency keys: one start, true refusals and complete responses.
//!
//! Each random schedule mixes killed, frozen and resumed homes, planned stops, cut
//! links, lost, late and repeated messages, refusals, crashing targets, a store that is
//! down, and requests repeated through other hosts. The simulation counts the starts
//! at the targets. Each mutation breaks one rule, and its harm must show.

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
const INPUT_BYTES: usize = 8_192;
const HOSTS: usize = 4;
const REQUESTS: usize = 6;
const MAX_ATTEMPTS: u32 = 6;
const START_SECONDS: u64 = 1_765_000_000;

/// A rule that a simulation breaks, to show that the rule is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The receiver starts a request whose home it cannot reach.
    ReceiverStarts,
    /// The home forgets keys but still starts keys that it does not know.
    ForgetsKeys,
    /// The home sends a request again after its exchange with the target failed.
    Resends,
    /// The home refuses a request but lets its key start later.
    LeavesKeyOpen,
    /// The receiver reports "not run" for a forwarded request without a reply.
    ForwardedNotRun,
    /// The receiver reports "not run" for a later attempt that it did not forward.
    LaterNotRun,
    /// The ledger copy of a killed home counts as complete.
    TrustsIncompleteCopy,
    /// The fingerprint of a request is not compared.
    IgnoresFingerprint,
    /// A partial response counts as complete.
    AcceptsPartialResponse,
}

#[derive(Default, Debug, PartialEq, Eq)]
struct Tally {
    double_starts: usize,
    false_refusals: usize,
    wrong_responses: usize,
    starts: usize,
    replays: usize,
    refusals: usize,
}

type DrawResult<T> = arbitrary::Result<T>;

#[derive(Clone, Debug)]
enum Event {
    Arrive(Call),
    Forward(Call),
    ForwardLost(Call),
    Decided(Call, Reply),
    Exchange {
        process: usize,
        run: usize,
        call: Call,
    },
    TargetReply {
        process: usize,
        run: usize,
        call: Call,
        reply: Option<Reply>,
    },
    CopyLedger(usize),
    Reply(Call, Reply),
}

/// One attempt of a request at its receiver.
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
    fingerprint: idempotency::Fingerprint,
    attempt: u32,
    is_refused: bool,
    responses: collections::BTreeSet<Vec<u8>>,
    starts: usize,
}

/// An entry process, which is both a receiver and a home.
struct Process {
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
    mutation: Mutation,
    now: instant::Instant,
    processes: Vec<Process>,
    hosts: Vec<usize>,
    cut_links: collections::HashSet<(usize, usize)>,
    requests: Vec<Request>,
    queue: Vec<Event>,
    store: Store,
    /// Number of permits to start that homes have issued.
    runs: usize,
    /// Number of requests that targets have run.
    served: usize,
    tally: Tally,
}

fn limits() -> idempotency::Limits {
    idempotency::Limits {
        retention: time::Duration::from_mins(3),
        max_skew: time::Duration::from_mins(1),
        max_keys: 64,
        max_response_bytes: 400,
    }
}

fn process(index: usize) -> Process {
    let origin = timestamp::Timestamp::from_millis(START_SECONDS * 1_000);
    Process {
        name: name::Incarnation::new(&format!("process-{index}")).expect("valid name"),
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
    fn new(mutation: Mutation, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<Self> {
        let mut world = Self {
            mutation,
            now: instant::Instant::ORIGIN,
            processes: (0..HOSTS).map(process).collect(),
            hosts: (0..HOSTS).collect(),
            cut_links: collections::HashSet::new(),
            requests: Vec::new(),
            queue: Vec::new(),
            store: Store::default(),
            runs: 0,
            served: 0,
            tally: Tally::default(),
        };
        for index in 0..REQUESTS {
            let home = u.choose_index(HOSTS)?;
            let issued = START_SECONDS + u.int_in_range(0..=40)?;
            let home = idempotency::Home::new(&world.processes[home].name, issued);
            let mut key = idempotency::Key::new(&format!("{home}.{index:08x}")).expect("valid key");
            if index > 0 && u.ratio(1, 5)? {
                key = world.requests[index - 1].key.clone();
            }
            let account = name::Account::new(&format!("account-{index}")).expect("valid name");
            let fingerprint =
                idempotency::Fingerprint::new(Some(&account), "POST", "/orders", b"oars");
            world.requests.push(Request {
                key,
                fingerprint,
                attempt: 0,
                is_refused: false,
                responses: collections::BTreeSet::new(),
                starts: 0,
            });
        }
        Ok(world)
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<()> {
        self.now = self.now + time::Duration::from_millis(u.int_in_range(0..=900)?);
        match u.int_in_range(0..=39)? {
            0..=5 => self.send_attempt(u)?,
            6 => self.inject_fault(u)?,
            7 => self.store.is_down = u.ratio(1, 2)?,
            8 => self.now = self.now + time::Duration::from_secs(u.int_in_range(0..=60)?),
            9 => {
                let process = self.hosts[u.choose_index(HOSTS)?];
                self.queue.push(Event::CopyLedger(process));
            }
            _ => self.deliver(u)?,
        }
        Ok(())
    }

    fn inject_fault(&mut self, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<()> {
        let host = u.choose_index(HOSTS)?;
        let current = self.hosts[host];
        match u.int_in_range(0..=6)? {
            0 => self.replace_process(host),
            1 => self.processes[current].is_frozen = true,
            2 | 3 => self.processes[current].is_frozen = false,
            4 => {
                self.cut_links.insert((host, u.choose_index(HOSTS)?));
            }
            5 => self.cut_links.clear(),
            _ => {
                self.processes[current].is_leaving = true;
                self.processes[current].ledger.leave();
            }
        }
        Ok(())
    }

    /// Kills the process of a host and starts a new one.
    fn replace_process(&mut self, host: usize) {
        self.processes[self.hosts[host]].is_alive = false;
        self.hosts[host] = self.processes.len();
        self.processes.push(process(self.processes.len()));
    }

    /// Abandons the latest attempt of a request and sends the next, to any host.
    fn send_attempt(&mut self, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<()> {
        let request = u.choose_index(REQUESTS)?;
        let receiver = self.hosts[u.choose_index(HOSTS)?];
        let known = &mut self.requests[request];
        if known.attempt < MAX_ATTEMPTS && !known.is_refused {
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

    fn deliver(&mut self, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<()> {
        if self.queue.is_empty() {
            return Ok(());
        }
        let event = self.queue.swap_remove(u.choose_index(self.queue.len())?);
        if let Some(process) = self.location(&event)
            && self.processes[process].is_frozen
            && self.processes[process].is_alive
        {
            self.queue.push(event);
            return Ok(());
        }
        if self
            .location(&event)
            .is_some_and(|process| !self.processes[process].is_alive)
        {
            return Ok(());
        }
        if matches!(event, Event::Forward(_) | Event::Decided(..)) && u.ratio(1, 6)? {
            self.queue.push(event.clone());
        }
        match event {
            Event::Arrive(call) => self.on_arrive(call),
            Event::Forward(call) => self.on_forward(call, u)?,
            Event::ForwardLost(call) => self.on_forward_lost(call),
            Event::Decided(call, reply) | Event::Reply(call, reply) => self.on_reply(&call, reply),
            Event::Exchange { process, run, call } => self.send_to_target(process, run, call, u)?,
            Event::TargetReply {
                process,
                run,
                call,
                reply,
            } => self.on_target_reply(process, run, call, reply, u)?,
            Event::CopyLedger(process) => self.copy_ledger(process),
        }
        Ok(())
    }

    /// Returns the process that must be running when an event takes effect, if any.
    fn location(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Arrive(call) | Event::ForwardLost(call) | Event::Decided(call, _) => {
                Some(call.receiver)
            }
            Event::Forward(call) => Some(self.home(call)),
            Event::TargetReply { process, .. } | Event::CopyLedger(process) => Some(*process),
            Event::Exchange { .. } | Event::Reply(..) => None,
        }
    }

    fn home(&self, call: &Call) -> usize {
        let home = self.requests[call.request]
            .key
            .home()
            .expect("the key names a home");
        let text = home.incarnation.as_str();
        text["process-".len()..].parse().expect("process number")
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let host = |process: usize| self.hosts.iter().position(|l| *l == process);
        match (host(from), host(to)) {
            (Some(from), Some(to)) => self.cut_links.contains(&(from, to)) && from != to,
            _ => true,
        }
    }

    fn on_arrive(&mut self, call: Call) {
        let home = self.home(&call);
        if !self.processes[home].is_alive || self.is_cut(call.receiver, home) {
            self.on_home_unreachable(call);
            return;
        }
        self.queue.push(Event::ForwardLost(call.clone()));
        self.queue.push(Event::Forward(call));
    }

    fn on_home_unreachable(&mut self, call: Call) {
        let request = &self.requests[call.request];
        let home = self.home(&call);
        if self.mutation == Mutation::ReceiverStarts {
            let permit = {
                let (key, fingerprint) = (request.key.clone(), request.fingerprint);
                self.processes[call.receiver]
                    .ledger
                    .begin(self.now, &key, fingerprint)
            };
            self.apply_decision(call.receiver, call, permit);
            return;
        }
        let page = self.store.pages.get(&home).cloned().unwrap_or_default();
        let mut end = self.store.ends.get(&home).copied();
        if self.mutation == Mutation::TrustsIncompleteCopy {
            end = Some(idempotency::EndMarker { floor: 0 });
        }
        let known = (!self.store.is_down)
            .then(|| idempotency::resolve(&request.key, request.fingerprint, &[page], end))
            .flatten();
        let attempt = match (call.attempt, self.mutation) {
            (_, Mutation::LaterNotRun) | (1, _) => idempotency::Attempt::First,
            _ => idempotency::Attempt::Later,
        };
        let reply = match known {
            Some(disposition) => reply(&disposition),
            None => Reply::Refusal(idempotency::Progress::NotForwarded.outcome(attempt)),
        };
        self.queue.push(Event::Reply(call, reply));
    }

    fn on_forward_lost(&mut self, call: Call) {
        let outcome = match self.mutation {
            Mutation::ForwardedNotRun => kind::Outcome::NotRun,
            _ => idempotency::Progress::Forwarded
                .outcome(idempotency::Attempt::parse(Some(&call.attempt.to_string()))),
        };
        self.queue.push(Event::Reply(call, Reply::Refusal(outcome)));
    }

    fn on_forward(&mut self, call: Call, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<()> {
        let home = self.home(&call);
        let request = &self.requests[call.request];
        let (key, fingerprint) = match self.mutation {
            Mutation::IgnoresFingerprint => (request.key.clone(), self.requests[0].fingerprint),
            _ => (request.key.clone(), request.fingerprint),
        };
        let ledger = &mut self.processes[home].ledger;
        if self.mutation == Mutation::ForgetsKeys && u.ratio(1, 3)? {
            let origin = timestamp::Timestamp::from_millis(START_SECONDS * 1_000);
            *ledger = idempotency::Ledger::new(limits(), origin);
        }
        if u.ratio(1, 6)? {
            let kind = kind::ErrorKind::OverRate;
            let disposition = match self.mutation {
                Mutation::LeavesKeyOpen => idempotency::Disposition::Refused(kind),
                _ => ledger.refuse(self.now, &key, fingerprint, kind),
            };
            self.apply_decision(home, call, disposition);
            return Ok(());
        }
        let disposition = ledger.begin(self.now, &key, fingerprint);
        self.apply_decision(home, call, disposition);
        Ok(())
    }

    /// Carries out the decision of the home's ledger.
    fn apply_decision(&mut self, home: usize, call: Call, disposition: idempotency::Disposition) {
        match disposition {
            idempotency::Disposition::Start(permit) => {
                self.runs += 1;
                let run = self.runs;
                self.processes[home].permits.insert(run, permit);
                let process = home;
                let lost = call.clone();
                self.queue.push(Event::Exchange { process, run, call });
                self.queue.push(Event::TargetReply {
                    process,
                    run,
                    call: lost,
                    reply: None,
                });
            }
            idempotency::Disposition::Running => {
                let id = self.requests[call.request].key.id();
                self.processes[home]
                    .waiting
                    .entry(id)
                    .or_default()
                    .push(call);
            }
            other => {
                let reply = reply(&other);
                self.queue.push(Event::Decided(call, reply));
            }
        }
    }

    /// Sends the request to a target, which may crash, reply in part or refuse.
    fn send_to_target(
        &mut self,
        process: usize,
        run: usize,
        call: Call,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> DrawResult<()> {
        if u.ratio(1, 8)? {
            let reply = Some(Reply::Refusal(kind::Outcome::NotRun));
            self.queue.push(Event::TargetReply {
                process,
                run,
                call,
                reply,
            });
            return Ok(());
        }
        self.requests[call.request].starts += 1;
        self.served += 1;
        let body = format!("{:08}-{}", self.served, call.request).into_bytes();
        let reply = match u.int_in_range(0..=5)? {
            1 if self.mutation == Mutation::AcceptsPartialResponse => {
                Some(Reply::Answer(body[..4].to_vec()))
            }
            0 | 1 => None,
            _ => Some(Reply::Answer(body)),
        };
        self.queue.push(Event::TargetReply {
            process,
            run,
            call,
            reply,
        });
        Ok(())
    }

    fn on_target_reply(
        &mut self,
        process: usize,
        run: usize,
        call: Call,
        reply: Option<Reply>,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> DrawResult<()> {
        let Some(permit) = self.processes[process].permits.remove(&run) else {
            return Ok(());
        };
        if reply.is_none() && self.mutation == Mutation::Resends && u.ratio(1, 2)? {
            self.processes[process].permits.insert(run, permit);
            self.queue.push(Event::Exchange { process, run, call });
            return Ok(());
        }
        let final_state = match reply {
            Some(Reply::Answer(body)) => {
                idempotency::FinalState::Answered(sync::Arc::new(idempotency::Response {
                    target: name::Target::new("target-1").expect("valid name"),
                    status: 200,
                    fields: Vec::new(),
                    body,
                }))
            }
            Some(Reply::Refusal(_)) => idempotency::FinalState::Refused(kind::ErrorKind::NoTarget),
            None => idempotency::FinalState::Lost,
        };
        let request = &self.requests[call.request];
        let (key, fingerprint) = (request.key.clone(), request.fingerprint);
        let entry = idempotency::Entry {
            id: key.id(),
            fingerprint,
            final_state: final_state.clone(),
        };
        let reply = self::reply(&entry.disposition(fingerprint));
        let home = &mut self.processes[process];
        home.pending.extend(home.ledger.finish(permit, final_state));
        let waiting = home.waiting.remove(&key.id()).unwrap_or_default();
        for call in waiting.into_iter().chain([call]) {
            self.queue.push(Event::Decided(call, reply.clone()));
        }
        Ok(())
    }

    fn copy_ledger(&mut self, process: usize) {
        if self.store.is_down {
            return;
        }
        let home = &mut self.processes[process];
        let page = self.store.pages.entry(process).or_default();
        page.entries.append(&mut home.pending);
        if let Some(end) = home.ledger.end_marker() {
            self.store.ends.insert(process, end);
            let host = self
                .hosts
                .iter()
                .position(|l| *l == process)
                .expect("the process has a host");
            self.replace_process(host);
        }
    }

    /// Delivers a reply to the caller, which ignores all but its latest attempt.
    fn on_reply(&mut self, call: &Call, reply: Reply) {
        let request = &mut self.requests[call.request];
        if request.attempt != call.attempt {
            return;
        }
        match reply {
            Reply::Refusal(kind::Outcome::NotRun) => {
                self.tally.refusals += 1;
                request.is_refused = true;
            }
            Reply::Refusal(kind::Outcome::Unknown) => {}
            Reply::Answer(body) => {
                self.tally.replays += usize::from(call.attempt > 1);
                let suffix = format!("-{}", call.request).into_bytes();
                self.tally.wrong_responses += usize::from(!body.ends_with(&suffix));
                request.responses.insert(body);
            }
        }
    }

    fn into_tally(mut self) -> Tally {
        let mut starts: collections::HashMap<&str, usize> = collections::HashMap::new();
        for request in &self.requests {
            *starts.entry(request.key.as_str()).or_default() += request.starts;
            self.tally.starts += request.starts;
            self.tally.false_refusals += usize::from(request.is_refused && request.starts > 0);
            self.tally.wrong_responses += request.responses.len().saturating_sub(1);
        }
        self.tally.double_starts += starts.values().filter(|count| **count > 1).count();
        self.tally
    }
}

fn reply(disposition: &idempotency::Disposition) -> Reply {
    match disposition {
        idempotency::Disposition::Replay(response) => Reply::Answer(response.body.clone()),
        other => {
            let refusal = other.refusal();
            Reply::Refusal(refusal.map_or(kind::Outcome::Unknown, |(_kind, outcome)| outcome))
        }
    }
}

fn run(mutation: Mutation, u: &mut arbitrary::Unstructured<'_>) -> DrawResult<Tally> {
    let mut world = World::new(mutation, u)?;
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        world.step(u)?;
    }
    Ok(world.into_tally())
}

fn schedules(mutation: Mutation, count: u64) -> Tally {
    let mut total = Tally::default();
    for seed in 0..count {
        let mut bytes = vec![0; INPUT_BYTES];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let one = run(mutation, &mut arbitrary::Unstructured::new(&bytes)).expect("enough bytes");
        if mutation == Mutation::None {
            assert_eq!(
                (one.double_starts, one.false_refusals, one.wrong_responses),
                (0, 0, 0),
                "seed {seed}"
            );
        }
        total.double_starts += one.double_starts;
        total.false_refusals += one.false_refusals;
        total.wrong_responses += one.wrong_responses;
        total.starts += one.starts;
        total.replays += one.replays;
        total.refusals += one.refusals;
    }
    println!("{mutation:?} over {count} schedules: {total:?}");
    total
}

#[test]
fn each_key_starts_at_most_once_and_each_refusal_is_true() {
    let total = schedules(Mutation::None, SCHEDULES);
    assert!(total.starts > 0 && total.replays > 0 && total.refusals > 0);
}

#[test]
fn random_schedules_beyond_the_fixed_ones_hold_too() {
    testing::check_cases(400, 16_384, |u| {
        let one = run(Mutation::None, u)?;
        assert_eq!(
            (one.double_starts, one.false_refusals, one.wrong_responses),
            (0, 0, 0)
        );
        Ok(())
    });
}

#[test]
fn a_host_that_takes_a_key_over_starts_it_twice() {
    assert!(schedules(Mutation::ReceiverStarts, SCHEDULES).double_starts > 0);
}

#[test]
fn a_home_that_forgets_keys_without_a_floor_starts_twice() {
    assert!(schedules(Mutation::ForgetsKeys, SCHEDULES).double_starts > 0);
}

#[test]
fn a_request_sent_again_after_a_broken_exchange_starts_twice() {
    assert!(schedules(Mutation::Resends, SCHEDULES).double_starts > 0);
}

#[test]
fn a_refusal_that_does_not_close_its_key_becomes_untrue() {
    assert!(schedules(Mutation::LeavesKeyOpen, SCHEDULES).false_refusals > 0);
}

#[test]
fn not_run_after_a_lost_reply_of_the_home_is_untrue() {
    assert!(schedules(Mutation::ForwardedNotRun, SCHEDULES).false_refusals > 0);
}

#[test]
fn not_run_for_a_later_attempt_is_untrue() {
    assert!(schedules(Mutation::LaterNotRun, SCHEDULES).false_refusals > 0);
}

#[test]
fn an_incomplete_copy_trusted_as_complete_makes_refusals_untrue() {
    assert!(schedules(Mutation::TrustsIncompleteCopy, SCHEDULES).false_refusals > 0);
}

#[test]
fn an_unchecked_fingerprint_replays_the_response_of_another_request() {
    assert!(schedules(Mutation::IgnoresFingerprint, SCHEDULES).wrong_responses > 0);
}

#[test]
fn an_accepted_partial_response_is_detected() {
    assert!(schedules(Mutation::AcceptsPartialResponse, SCHEDULES).wrong_responses > 0);
}
