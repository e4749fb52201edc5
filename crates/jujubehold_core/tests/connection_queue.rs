//! How the requests of several customers share the connections to an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, ConnectionRequest, WaitTicket};
use jujubehold_core::prelude::*;

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn request(ticket: WaitTicket, customer: &str, asked_ms: u64) -> ConnectionRequest {
    ConnectionRequest {
        ticket,
        priority: 1,
        customer: Some(customer.into()),
        asked_at: ms(asked_ms),
        give_up_at: ms(asked_ms + 400),
    }
}

fn pop_all(queue: &mut ConnectionQueue, now_ms: u64) -> Vec<WaitTicket> {
    std::iter::from_fn(|| queue.pop(ms(now_ms))).collect()
}

#[test]
fn customers_take_turns_within_a_priority() {
    let mut queue = ConnectionQueue::default();
    for ticket in 1..=3 {
        queue.push(&request(ticket, "large", ticket));
    }
    queue.push(&request(4, "small", 4));
    queue.push(&request(5, "small", 5));
    queue.push(&ConnectionRequest {
        priority: 0,
        ..request(6, "large", 6)
    });
    assert_eq!(pop_all(&mut queue, 10), [6, 1, 4, 2, 5, 3]);
}

// Guards against a form of turns in which a customer that has just been served joins the current
// round again: two customers with one request at a time would keep a third one's second request
// waiting forever.
#[test]
fn a_customer_that_was_served_waits_until_the_others_had_their_turn() {
    let mut queue = ConnectionQueue::default();
    queue.push(&request(1, "a", 1));
    queue.push(&request(2, "a", 2));
    queue.push(&request(3, "b", 3));
    assert_eq!(queue.pop(ms(10)), Some(1));
    assert_eq!(queue.pop(ms(10)), Some(3));
    queue.push(&request(4, "b", 11));
    assert_eq!(queue.pop(ms(12)), Some(2));
    assert_eq!(queue.pop(ms(12)), Some(4));
}

#[test]
fn a_cancelled_request_takes_no_turn() {
    let mut queue = ConnectionQueue::default();
    for ticket in 1..=3 {
        queue.push(&request(ticket, "a", ticket));
    }
    queue.push(&request(4, "b", 4));
    queue.push(&request(5, "b", 5));
    queue.cancel(1);
    queue.cancel(2);
    queue.cancel(3);
    queue.push(&request(6, "a", 6));
    assert_eq!(pop_all(&mut queue, 10), [4, 6, 5]);
}

// Guards against refusals of a small customer's requests because a large customer has many waiting.
#[test]
fn the_expected_wait_of_a_customer_counts_the_turns_before_its_own() {
    let mut queue = ConnectionQueue::default();
    queue.note_held(ms(30));
    for ticket in 0..20 {
        queue.push(&request(ticket, "large", ticket));
    }
    let expected = |customer: &str| queue.expected_wait(1, Some(&customer.into()), 1);
    assert_eq!(expected("large"), ms(30) * 21);
    assert_eq!(expected("small"), ms(30) * 2);
}

#[test]
fn a_free_connection_goes_to_its_own_customer_while_the_others_have_not_waited_long() {
    let queue = || {
        let mut queue = ConnectionQueue::default();
        queue.push(&request(1, "a", 0));
        queue.push(&request(2, "b", 5));
        queue.push(&ConnectionRequest {
            priority: 2,
            ..request(3, "c", 6)
        });
        queue
    };
    let pop_for = |customer: &str, now_ms| queue().pop_for(ms(now_ms), Some(&customer.into()));
    assert_eq!(pop_for("b", 99), Some(2));
    // A quarter of the time that the first request can wait is over.
    assert_eq!(pop_for("b", 100), Some(1));
    // A customer without a request of the same priority has no use for the connection.
    assert_eq!(pop_for("c", 20), Some(1));
    // No other connection can be opened, so only this customer can use it.
    assert_eq!(queue().pop_of(ms(100), Some(&"c".into())), Some(3));
    assert_eq!(queue().pop_of(ms(20), Some(&"d".into())), None);
}

#[test]
fn room_for_a_connection_is_made_by_closing_as_many_as_needed() {
    let mut limit = ConnectionLimit::new(4);
    for _ in 0..4 {
        limit.begin_opening();
        limit.end_opening();
    }
    assert_eq!(limit.closes_needed(ms(0)), Some(1));
    limit.note_busy(ms(1_000), 2);
    // One is allowed, four are open.
    assert_eq!(limit.closes_needed(ms(1_000)), Some(4));
    limit.note_closed(3);
    limit.begin_opening();
    limit.begin_opening();
    assert_eq!(limit.closes_needed(ms(1_000)), None);
}

/// A connection in the replay.
struct Connection {
    customer: CustomerId,
    free_at: u64,
}

/// The time for which a request holds a connection, and the time to open one.
const HOLD_MS: u64 = 20;
const OPEN_MS: u64 = 24;
const DURATION_MS: u64 = 20_000;
/// The time at the end in which no request is sent, so that all others are served or expire.
const LAST_WAIT_MS: u64 = 500;

/// Serves requests of ten customers over three connections. Each customer sends one request in
/// 200 ms; the first one sends `factor` times as many. The queue knows the customers if `has_turns`,
/// otherwise it serves in the order of arrival. Returns, for each customer, the numbers of requests
/// and of those served in time, and the number of connections opened.
fn replay(factor: u64, has_turns: bool) -> (BTreeMap<CustomerId, (u32, u32)>, u32) {
    let mut queue = ConnectionQueue::default();
    let mut customers: BTreeMap<WaitTicket, CustomerId> = BTreeMap::new();
    let mut connections: Vec<Connection> = Vec::new();
    let mut counts: BTreeMap<CustomerId, (u32, u32)> = BTreeMap::new();
    let (mut ticket, mut opened) = (0, 0);
    for now in 0..DURATION_MS {
        for number in 0..10 {
            let interval = if number == 0 { 200 / factor } else { 200 };
            let is_due = (now + number * 7).is_multiple_of(interval);
            if !is_due || now + LAST_WAIT_MS >= DURATION_MS {
                continue;
            }
            ticket += 1;
            let customer = CustomerId::from(format!("customer-{number}"));
            let mut request = request(ticket, &customer, now);
            request.customer = request.customer.filter(|_| has_turns);
            queue.push(&request);
            counts.entry(customer.clone()).or_default().0 += 1;
            customers.insert(ticket, customer);
        }
        let mut serve = |ticket: WaitTicket, connection: Option<&CustomerId>| {
            let customer = customers[&ticket].clone();
            counts.entry(customer.clone()).or_default().1 += 1;
            let is_same = connection == Some(&customer);
            opened += u32::from(!is_same);
            let setup = if is_same { 0 } else { OPEN_MS };
            Connection {
                customer,
                free_at: now + setup + HOLD_MS,
            }
        };
        while connections.len() < 3
            && let Some(ticket) = queue.pop(ms(now))
        {
            connections.push(serve(ticket, None));
        }
        for connection in &mut connections {
            if connection.free_at > now {
                continue;
            }
            let customer = has_turns.then_some(&connection.customer);
            if let Some(ticket) = queue.pop_for(ms(now), customer) {
                *connection = serve(ticket, Some(&connection.customer));
            }
        }
    }
    (counts, opened)
}

fn served_percent(counts: (u32, u32)) -> u32 {
    counts.1 * 100 / counts.0
}

// Ten customers use most of three connections; then one of them sends nine times its usual rate,
// with which all of them send more than the connections carry if each request opens one.
#[test]
fn a_customer_that_sends_nine_times_its_usual_rate_makes_only_its_own_requests_wait() {
    let (usual, _) = replay(1, true);
    let (burst, opened) = replay(9, true);
    for (customer, counts) in &usual {
        assert_eq!(served_percent(*counts), 100, "{customer}");
    }
    let own = CustomerId::from("customer-0");
    for (customer, counts) in burst.iter().filter(|(customer, _)| **customer != own) {
        assert!(served_percent(*counts) >= 99, "{customer}: {counts:?}");
    }
    // The load is one that harms them without turns.
    let (in_order, _) = replay(9, false);
    let mut others = in_order.iter().filter(|(customer, _)| **customer != own);
    assert!(others.any(|(_, counts)| served_percent(*counts) < 80));
    // It still gets what the others leave, and its requests share connections.
    assert!(burst[&own].1 >= 2 * usual[&own].1, "{:?}", burst[&own]);
    let served: u32 = burst.values().map(|counts| counts.1).sum();
    assert!(opened < served, "{opened} for {served}");
}
