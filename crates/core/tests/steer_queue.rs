//! Tests that the queue is bounded and fair, meets deadlines and does not starve batch requests.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::steer;
use skylark_testing as testing;

const BATCH_INTERVAL_TURNS: usize = 8;

fn account(number: usize) -> Option<name::Account> {
    name::Account::new(&format!("a{number}")).ok()
}

fn entry<T>(number: usize, deadline: Option<u64>, item: T) -> steer::QueueEntry<T> {
    steer::QueueEntry {
        account: account(number),
        deadline: deadline.map(instant::Instant::from_micros),
        item,
    }
}

fn throughput(width: u32, service: u32) -> steer::Throughput {
    steer::Throughput {
        concurrency: width,
        service_time: service,
        response_time: service,
    }
}

const UNLIMITED: steer::Throughput = steer::Throughput {
    concurrency: 1_000,
    service_time: 1,
    response_time: 1,
};

#[test]
fn the_bound_holds_and_no_request_is_lost_or_duplicated() {
    testing::check(|u| {
        let bound: u32 = u.int_in_range(0..=6)?;
        let mut queue = steer::Queue::new(bound);
        let mut queued = collections::BTreeSet::new();
        for item in 0..u.int_in_range(1..=60)? {
            let now = instant::Instant::from_micros(item);
            if u.ratio(2, 3)? {
                let deadline = u.ratio(3, 4)?.then_some(u.int_in_range(0..=10_000)?);
                let request = entry(u.int_in_range(0..=3)?, deadline, item);
                let enqueued = queue.enqueue(request, throughput(1, 100), now);
                queued.insert(item);
                if let Some(out) = enqueued.refused {
                    assert!(queued.remove(&out), "{out} was not queued");
                }
            } else if let Some(dequeued) = queue.dequeue(100, now) {
                let (steer::Dequeued::Ready(out) | steer::Dequeued::Expired(out)) = dequeued;
                assert!(queued.remove(&out), "{out} was not queued");
            }
            assert_eq!(queue.len(), queued.len());
            assert!(
                queue.len() <= 2 * bound as usize,
                "both classes are bounded"
            );
        }
        Ok(())
    });
}

#[test]
fn batch_requests_are_served_under_any_load_with_deadlines() {
    testing::check(|u| {
        let mut queue = steer::Queue::new(64);
        let now = instant::Instant::ORIGIN;
        let batch: usize = u.int_in_range(1..=6)?;
        for _ in 0..batch {
            queue.enqueue(entry(9, None, true), UNLIMITED, now);
        }
        let mut out = 0;
        for turn in 1..=BATCH_INTERVAL_TURNS * batch {
            for _ in 0..u.int_in_range(1..=4)? {
                let deadline = Some(u.int_in_range(1_000..=1_000_000)?);
                queue.enqueue(
                    entry(u.int_in_range(0..=3)?, deadline, false),
                    UNLIMITED,
                    now,
                );
            }
            out += usize::from(queue.dequeue(0, now) == Some(steer::Dequeued::Ready(true)));
            assert!(
                out * BATCH_INTERVAL_TURNS + BATCH_INTERVAL_TURNS > turn,
                "{out} out by turn {turn}"
            );
        }
        Ok(())
    });
}

/// The request admitted last must meet its deadline if the host is as fast as estimated.
#[test]
fn an_admitted_request_meets_its_deadline_by_the_estimate() {
    testing::check(|u| {
        let width: u32 = u.int_in_range(1..=5)?;
        let service: u32 = u.int_in_range(1..=1_000)?;
        let mut queue = steer::Queue::new(64);
        let now = instant::Instant::ORIGIN;
        let mut last = None;
        for item in 0..u.int_in_range(1..=40)? {
            let turns = u64::from(service) * u.int_in_range(1..=40)? / u64::from(width);
            let deadline = u.ratio(2, 3)?.then_some(u64::from(service) + turns);
            let request = entry(u.int_in_range(0..=1)?, deadline, item);
            let enqueued = queue.enqueue(request, throughput(width, service), now);
            if let (steer::AdmissionResult::Wait, Some(deadline)) = (enqueued.ruling, deadline) {
                assert!(enqueued.inputs.estimate() <= deadline);
                last = Some((item, deadline));
            } else if deadline.is_none() {
                last = None;
            }
        }
        let Some((item, deadline)) = last else {
            return Ok(());
        };
        let end = served_at(&mut queue, item, width, service);
        assert!(
            end.is_some_and(|end| end <= deadline),
            "{end:?} > {deadline}"
        );
        Ok(())
    });
}

#[test]
fn the_estimate_includes_the_turns_of_batch_requests() {
    for waiting in 1..40 {
        let mut queue = steer::Queue::new(64);
        let now = instant::Instant::ORIGIN;
        for item in 0..8 {
            queue.enqueue(entry(0, None, item), throughput(1, 1_000), now);
        }
        for item in 0..waiting {
            queue.enqueue(
                entry(0, Some(900_000), 100 + item),
                throughput(1, 1_000),
                now,
            );
        }
        let enqueued = queue.enqueue(entry(0, Some(900_001), 99), throughput(1, 1_000), now);
        let estimate = enqueued.inputs.estimate();
        let end = served_at(&mut queue, 99, 1, 1_000);
        assert!(
            end.is_some_and(|end| end <= estimate),
            "{end:?} > {estimate}"
        );
    }
}

/// Serves the queue with slots that become free in turn; returns when `item` is answered, in microseconds.
fn served_at(queue: &mut steer::Queue<u32>, item: u32, width: u32, service: u32) -> Option<u64> {
    let first = |slot: u32| u64::from(service * (slot + 1) / width);
    let mut slots: Vec<u64> = (0..width).map(first).collect();
    loop {
        let slot = slots.iter_mut().min()?;
        match queue.dequeue(service, instant::Instant::from_micros(*slot))? {
            steer::Dequeued::Ready(turn) => {
                *slot += u64::from(service);
                if turn == item {
                    return Some(*slot);
                }
            }
            steer::Dequeued::Expired(late) if late == item => return None,
            steer::Dequeued::Expired(_) => {}
        }
    }
}

#[test]
fn one_overloading_account_does_not_displace_the_others() {
    testing::check(|u| {
        let bound: u32 = u.int_in_range(4..=32)?;
        let mut queue = steer::Queue::new(bound);
        let now = instant::Instant::ORIGIN;
        for _ in 0..u.int_in_range(bound..=4 * bound)? {
            let deadline = Some(u.int_in_range(1_000..=2_000)?);
            queue.enqueue(entry(0, deadline, 0), UNLIMITED, now);
        }
        let small: u32 = u.int_in_range(1..=bound / 4)?;
        for _ in 0..small {
            let deadline = Some(u.int_in_range(1_000..=1_000_000)?);
            let enqueued = queue.enqueue(entry(1, deadline, 1), UNLIMITED, now);
            assert_eq!(enqueued.ruling, steer::AdmissionResult::Wait);
            assert_ne!(
                enqueued.refused,
                Some(1),
                "a request of the small account was displaced"
            );
        }
        let turns = 2 * small + 4;
        let out = (0..turns).filter(|_| queue.dequeue(0, now) == Some(steer::Dequeued::Ready(1)));
        assert_eq!(
            out.count(),
            small as usize,
            "all requests of the small account are served within {turns} turns"
        );
        Ok(())
    });
}

/// Returns the number of met deadlines with an unbounded first-in, first-out queue.
fn fifo(arrivals: &[(u64, u64)], width: usize, service: u64) -> usize {
    let mut slots = vec![0; width];
    let mut in_time = 0;
    for (at, deadline) in arrivals {
        let Some(slot) = slots.iter_mut().min() else {
            return 0;
        };
        *slot = (*slot).max(*at) + service;
        in_time += usize::from(*slot <= *deadline);
    }
    in_time
}

/// Returns the number of met deadlines with the queue under test.
fn fair(arrivals: &[(u64, u64)], width: u32, service: u32) -> usize {
    let mut queue = steer::Queue::new(64);
    let mut slots = vec![0; width as usize];
    let mut in_time = 0;
    let mut arrivals = arrivals.iter().peekable();
    loop {
        let Some(slot) = slots.iter_mut().min() else {
            return in_time;
        };
        if queue.is_empty() {
            let Some((at, _)) = arrivals.peek() else {
                return in_time;
            };
            *slot = (*slot).max(*at);
        }
        while let Some((at, deadline)) = arrivals.next_if(|(at, _)| at <= slot) {
            let request = entry(0, Some(*deadline), *deadline);
            queue.enqueue(
                request,
                throughput(width, service),
                instant::Instant::from_micros(*at),
            );
        }
        if let Some(steer::Dequeued::Ready(deadline)) =
            queue.dequeue(service, instant::Instant::from_micros(*slot))
        {
            *slot += u64::from(service);
            in_time += usize::from(*slot <= deadline);
        }
    }
}

#[test]
fn at_twice_the_capacity_more_deadlines_are_met_than_with_fifo() {
    let service = 1_000;
    let width = 5;
    let arrivals: Vec<(u64, u64)> = (0..2_000)
        .map(|n| (n * 100, n * 100 + 5_000 + (n * 7_919) % 20_000))
        .collect();
    let fair = fair(&arrivals, width, service);
    let fifo = fifo(&arrivals, width as usize, u64::from(service));
    let span = time::Duration::from_millis(200);
    let capacity = span.as_micros() as usize / service as usize * width as usize;
    assert!(
        fair * 10 >= capacity * 9,
        "{fair} of {capacity} deadlines met"
    );
    assert!(fair > 2 * fifo, "{fair} deadlines met, {fifo} with FIFO");
}
