use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMIT: usize = 1000;

#[test]
fn bodies_wait_in_order_of_arrival_until_there_is_room() {
    let mut memory = AnswerMemory::new(LIMIT);
    assert!(memory.admit(0.0, 1, 600));
    assert!(!memory.admit(0.0, 2, 500) && !memory.admit(0.0, 3, 100), "the second does not pass the first");
    assert!(memory.take_admitted(1.0).is_empty());
    memory.unsent_changed(0, 600);
    memory.release(1);
    assert_eq!((memory.take_admitted(2.0), memory.charged()), (vec![], 600), "it is still to be sent");
    memory.unsent_changed(600, 400);
    assert_eq!((memory.take_admitted(3.0), memory.charged()), (vec![2, 3], 1000));
    assert!(memory.is_half_full());
    [2, 3].into_iter().for_each(|connection| memory.release(connection));
    memory.unsent_changed(0, 99);
    assert!(!memory.is_half_full(), "{} of {LIMIT}", memory.charged());
    memory.unsent_changed(0, 1);
    assert!(memory.is_half_full());
}

#[test]
fn a_body_waits_where_the_process_has_no_room_although_its_account_has() {
    let mut memory = AnswerMemory::new(LIMIT);
    memory.unsent_changed(0, 1);
    memory.set_process_room(150);
    assert!(memory.admit(0.0, 1, 100) && !memory.admit(0.0, 2, 100));
    memory.set_process_room(99);
    assert!(memory.take_admitted(1.0).is_empty());
    memory.set_process_room(100);
    assert_eq!(memory.take_admitted(2.0), [2]);
}

#[test]
fn a_body_that_has_waited_for_long_is_read_although_there_is_no_room_one_at_a_time() {
    let mut memory = AnswerMemory::new(LIMIT);
    memory.unsent_changed(0, 990);
    assert!(!memory.admit(0.0, 1, 50) && !memory.admit(5.0, 2, 50));
    assert_eq!((memory.next_deadline(), memory.take_admitted(999.0)), (Some(1000.0), vec![]));
    assert_eq!((memory.take_admitted(1010.0), memory.next_deadline()), (vec![1], None));
    memory.release(1);
    assert_eq!(memory.take_admitted(1010.0), [2]);
    memory.release(2);
    assert_eq!((memory.charged(), memory.waiting()), (990, 0));
}

#[test]
fn a_closed_connection_neither_waits_nor_is_charged() {
    let mut memory = AnswerMemory::new(LIMIT);
    assert!(memory.admit(0.0, 1, 2000), "larger than the limit, but alone");
    assert!(!memory.admit(0.0, 2, 10));
    memory.release(2);
    memory.release(1);
    assert_eq!((memory.take_admitted(1.0), memory.charged()), (vec![], 0));
}

#[derive(Clone, Debug)]
enum Step {
    /// A body of this size arrives on a connection that reads none.
    Arrives(u8, u16),
    /// The body of a connection has arrived whole and is queued for its client, or its connection closes.
    Ends(u8, bool),
    /// A client is sent some of what is queued.
    Sent(u16),
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let connection = u8::arbitrary(gen) % 8;
        match u8::arbitrary(gen) % 3 {
            0 => Self::Arrives(connection, u16::arbitrary(gen) % 600),
            1 => Self::Ends(connection, bool::arbitrary(gen)),
            _ => Self::Sent(u16::arbitrary(gen) % 900),
        }
    }
}

#[test]
fn the_limit_holds_and_everything_is_admitted_once_clients_read() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut memory = AnswerMemory::new(LIMIT);
        let (mut reading, mut waiting, mut unsent) =
            (BTreeMap::<u64, usize>::new(), BTreeMap::<u64, usize>::new(), 0);
        let end = |memory: &mut AnswerMemory, bytes: usize, unsent: &mut usize, key: u64| {
            memory.release(key);
            memory.unsent_changed(*unsent, *unsent + bytes);
            *unsent += bytes;
        };
        for step in steps {
            match step {
                Step::Arrives(key, bytes) => {
                    let (key, bytes) = (u64::from(key), usize::from(bytes));
                    if reading.contains_key(&key) || waiting.contains_key(&key) {
                        continue;
                    }
                    let map = if memory.admit(0.0, key, bytes) { &mut reading } else { &mut waiting };
                    map.insert(key, bytes);
                }
                Step::Ends(key, served) => {
                    waiting.remove(&u64::from(key)).into_iter().for_each(|_| memory.release(u64::from(key)));
                    if let Some(bytes) = reading.remove(&u64::from(key)) {
                        end(&mut memory, if served { bytes } else { 0 }, &mut unsent, u64::from(key));
                    }
                }
                Step::Sent(bytes) => {
                    let left = unsent.saturating_sub(usize::from(bytes));
                    memory.unsent_changed(unsent, left);
                    unsent = left;
                }
            }
            for key in memory.take_admitted(0.0) {
                reading.insert(key, waiting.remove(&key).expect("it waits"));
            }
            let charged = reading.values().sum::<usize>() + unsent;
            if memory.charged() != charged || charged > LIMIT {
                return false;
            }
        }
        // Clients read, and what has begun ends.
        while !reading.is_empty() || !waiting.is_empty() {
            memory.unsent_changed(unsent, 0);
            unsent = 0;
            while let Some((key, _)) = reading.pop_first() {
                memory.release(key);
            }
            for key in memory.take_admitted(0.0) {
                reading.insert(key, waiting.remove(&key).expect("it waits"));
            }
            if reading.is_empty() && !waiting.is_empty() {
                return false;
            }
        }
        memory.unsent_changed(unsent, 0);
        memory.charged() == 0
    }
    QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<Step>) -> bool);
}
