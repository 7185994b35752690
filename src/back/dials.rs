//! The ways of connections: races that are begun and go on, paths that fall mute, and what is left alone for it.

use super::connection::{Link, Open, What};
use super::{DialEnd, Dialling, Frame, Leave, LinkKey, Links, FURTHER, GREET_MS, MAX_MOVES};
use crate::addresses::{Book, DialKey, Endpoint, Failure, Race, Step};
use crate::api::{CacheId, Millis};
use crate::reducer::Progress;
use crate::resp::{self, Decoder};
use std::collections::{BTreeSet, HashMap, VecDeque};

impl Links {
    /// What is to be dialled and closed now. To be asked again after each dial that ends.
    pub fn poll(&mut self, now: Millis) -> Vec<Dialling> {
        let mut todo = Vec::new();
        for (member, endpoint) in self.book.trials(now) {
            if (self.links.len() as f64) < FURTHER * self.most as f64 {
                self.open(now, &member, vec![endpoint], true);
            } else {
                self.book.untried(now, &member, &endpoint);
            }
        }
        if self.racing.is_empty() {
            return todo;
        }
        let most_in_all = self.book.rules().map_or(usize::MAX, |rules| rules.in_all);
        let mut in_all = 0;
        let mut by_member: HashMap<CacheId, usize> = HashMap::new();
        for link in self.racing.iter().filter_map(|key| self.links.get(key)) {
            let open = link.race.as_ref().map_or(0, |race| race.open().len());
            in_all += open;
            *by_member.entry(link.member.clone()).or_default() += open;
        }
        for key in &self.racing {
            let Some(link) = self.links.get_mut(key) else { continue };
            let Some(race) = &mut link.race else { continue };
            let own = by_member.entry(link.member.clone()).or_default();
            // The ways may have changed since: by the board, a claim, a new file, or another's failure.
            let ways = match &link.trial {
                Some(tried) if self.book.own(now, &link.member, tried) => vec![tried.clone()],
                Some(_) => Vec::new(),
                None => self.book.candidates(now, &link.member),
            };
            for dial in race.restrict(&ways) {
                (in_all, *own) = (in_all - 1, *own - 1);
                todo.push(Dialling::Close(dial));
            }
            // Nobody waits for it any more: what was begun may come up and rest, but nothing is dialled anew.
            if link.retired || (link.open.is_empty() && link.trial.is_none()) {
                continue;
            }
            let most = self.book.most_dials(now, &link.member);
            let free = most.saturating_sub(*own).min(most_in_all.saturating_sub(in_all));
            for step in race.poll(now, free, &mut self.next_dial) {
                match step {
                    Step::Start(dial, endpoint) => {
                        (in_all, *own) = (in_all + 1, *own + 1);
                        todo.push(Dialling::Start(*key, dial, endpoint));
                    }
                    Step::Drop(dial, endpoint) => {
                        (in_all, *own) = (in_all - 1, *own - 1);
                        todo.push(Dialling::Close(dial));
                        let leave = left(&mut self.book, now, &link.member, &endpoint, Failure::Overtaken);
                        todo.extend(leave.map(Dialling::Left));
                    }
                }
            }
        }
        todo
    }

    /// A dial has ended without a connection. To be followed by [`Links::poll`].
    pub fn dial_failed(&mut self, now: Millis, key: LinkKey, dial: DialKey, how: DialEnd) -> Option<Leave> {
        let link = self.links.get_mut(&key)?;
        let race = link.race.as_mut()?;
        let why = match how {
            DialEnd::NoRoom => {
                race.postpone(now, dial, true);
                return None;
            }
            DialEnd::Unreachable if !race.has_others() => {
                race.postpone(now, dial, false); // The route may be back within the time that a dial has.
                return None;
            }
            DialEnd::Unreachable => Failure::Unreachable,
            DialEnd::Failed(why) => why,
        };
        let endpoint = race.failed(now, dial)?;
        left(&mut self.book, now, &link.member, &endpoint, why)
    }

    /// A dial is up: its connection goes on over it. What is to be closed and left for that; `None`: nobody
    /// waits for it any more, and it is to be closed itself.
    pub fn up(&mut self, now: Millis, key: LinkKey, dial: DialKey) -> Option<Vec<Dialling>> {
        let link = self.links.get_mut(&key)?;
        // Where there is another way, this one has as long to greet as it would have had to come up.
        let others = self.book.candidates(now, &link.member).len() > 1;
        let delay = self.book.rules().filter(|_| others).map(|rules| rules.attempt_delay.1);
        let wait = delay.unwrap_or(GREET_MS);
        let won = match link.race.take()?.won(now, dial) {
            Ok(won) => won,
            Err(race) => {
                link.race = Some(race);
                return None;
            }
        };
        self.racing.remove(&key);
        (link.up, link.idle, link.heard) = (Some(now), now, now);
        self.book.connected(&link.member, &won.endpoint, won.took_ms);
        link.endpoint = Some(won.endpoint);
        if link.trial.is_some() || self.book.rules().is_some_and(|rules| rules.names) {
            self.next_probe += 1;
            let tag = format!("hello{}", self.next_probe);
            let bytes = resp::frame(&[b"HELO", tag.as_bytes()]);
            let progress = Progress::NotConnected;
            link.open.insert(tag.clone(), Open { what: What::Greeting, progress, alone: false });
            link.out.push_front(Frame { bytes, call: None, opens: Some(tag), alone: false, moves: 0 });
            link.greeting = Some(now + wait);
        }
        let mut todo = Vec::new();
        for (dial, endpoint, overtaken) in won.losers {
            todo.push(Dialling::Close(dial));
            if overtaken {
                let leave = left(&mut self.book, now, &link.member, &endpoint, Failure::Overtaken);
                todo.extend(leave.map(Dialling::Left));
            }
        }
        Some(todo)
    }

    /// What has just fallen mute: its path is left, and what has not begun to leave moves to another one. Only
    /// where machines have several ways; else the next request shows it.
    pub fn mute(&mut self, now: Millis) -> (Vec<Leave>, BTreeSet<LinkKey>) {
        let (mut leaves, mut moved) = (Vec::new(), BTreeSet::new());
        if self.book.rules().is_none() {
            return (leaves, moved);
        }
        let newly = |link: &Link| link.up.is_some() && !link.blamed && link.mute(now);
        let keys: Vec<LinkKey> =
            self.links.iter().filter(|(_, link)| newly(link)).map(|(key, _)| *key).collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else { continue };
            link.blamed = true;
            let (member, Some(endpoint)) = (link.member.clone(), link.endpoint.clone()) else { continue };
            leaves.extend(left(&mut self.book, now, &member, &endpoint, Failure::Mute));
            if self.book.takes(now, &member, &endpoint) {
                continue; // There is no other way.
            }
            let waits = |open: &Open| matches!(open.what, What::Attempt(_) | What::Probe);
            let unsent = link.open.iter().filter(|(_, o)| waits(o) && o.progress == Progress::NotConnected);
            let unsent: Vec<(String, What)> = unsent.map(|(id, open)| (id.clone(), open.what)).collect();
            for (id, what) in unsent {
                let Some(link) = self.links.get_mut(&key) else { break };
                let at = link.out.iter().position(|f| f.opens.as_ref() == Some(&id) && f.moves < MAX_MOVES);
                let Some(mut frame) = at.and_then(|at| link.out.remove(at)) else { continue };
                frame.moves += 1;
                let back = frame.clone();
                let Some(open) = link.open.remove(&id) else { continue };
                match self.queue(now, what, &member, frame, true) {
                    Ok((to, _)) => drop(moved.insert(to)),
                    Err(_) => {
                        let Some(link) = self.links.get_mut(&key) else { break };
                        link.open.insert(id, open);
                        link.out.push_back(back);
                    }
                }
            }
        }
        (leaves, moved)
    }

    /// A new connection, to be dialled.
    pub(super) fn open(
        &mut self,
        now: Millis,
        member: &CacheId,
        ways: Vec<Endpoint>,
        trial: bool,
    ) -> LinkKey {
        self.next += 1;
        let trial = ways.first().filter(|_| trial).cloned();
        let delay = self.book.delay(member, ways.first());
        let link = Link {
            member: member.clone(),
            endpoint: None,
            race: Some(Race::new(now, ways, delay, now + self.dial_ms)),
            dialed: now,
            up: None,
            greeting: None,
            trial,
            blamed: false,
            retired: false,
            unheard: None,
            idle: now,
            out: VecDeque::new(),
            written: 0,
            open: HashMap::new(),
            past: VecDeque::new(),
            decoder: Decoder::default(),
            heard: now,
            begun: now,
        };
        self.links.insert(self.next, link);
        self.racing.insert(self.next);
        self.next
    }
}

/// Has the book leave a path alone; what there is to say of it.
pub(super) fn left(
    book: &mut Book,
    now: Millis,
    member: &CacheId,
    endpoint: &Endpoint,
    why: Failure,
) -> Option<Leave> {
    let until = book.failed(now, member, endpoint, why)?;
    Some(Leave { member: member.clone(), endpoint: endpoint.clone(), why, pause_ms: until - now })
}
