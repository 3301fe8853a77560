//! Anti-entropy between daemons: compares digests first, then versions where digests differ, then
//! exchanges the differing announcements.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::{BUCKETS_INTERVAL_MS, MemberControl, MemberMessage, send};
use crate::decide::control::ControlTurn;
use crate::decide::control::gateways::gateways;
use crate::decide::control::members::{BUCKETS, BucketDigests, Rank, rank};
use crate::model::{ServiceName, ZoneName};

impl MemberControl {
    pub(super) fn probe_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        digest: Option<u64>,
    ) {
        let zone = self.vm.place.zone.clone();
        if digest.is_some_and(|digest| digest != self.members.zone_digest(&zone)) {
            self.send_buckets(turn, from, zone);
        }
    }

    pub(super) fn zone_digests_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        digests: &[(ZoneName, u64)],
    ) {
        if !self.gateway {
            return;
        }
        for (zone, digest) in digests {
            if self.members.zone_digest(zone) != *digest {
                self.send_buckets(turn, from, zone.clone());
            }
        }
    }

    pub(super) fn send_buckets(
        &mut self,
        turn: &mut ControlTurn<'_>,
        to: SocketAddr,
        zone: ZoneName,
    ) {
        let last = self.buckets_sent_at.get(&zone).copied();
        if last.is_some_and(|last| turn.now.since_ms(last) < BUCKETS_INTERVAL_MS) {
            return;
        }
        self.buckets_sent_at.insert(zone.clone(), turn.now);
        let digests = self.members.zone_buckets(&zone).to_vec();
        send(turn, to, MemberMessage::Buckets { zone, digests });
    }

    pub(super) fn buckets_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        zone: ZoneName,
        theirs: &[u64],
    ) {
        if !self.gateway && zone != self.vm.place.zone {
            return;
        }
        let ours = self.members.zone_buckets(&zone);
        let Some(differs) = differing(&ours, theirs) else {
            return;
        };
        let buckets = (0..BUCKETS as u8)
            .filter(|bucket| differs[usize::from(*bucket)])
            .collect();
        let versions = self
            .members
            .in_buckets(&zone, &differs)
            .iter()
            .map(|known| (known.vm.worker.address, rank(known)))
            .collect();
        let message = MemberMessage::Differing {
            zone,
            buckets,
            versions,
        };
        send(turn, from, message);
    }

    pub(super) fn difference_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        zone: &ZoneName,
        buckets: &[u8],
        theirs: &[(SocketAddr, Rank)],
    ) {
        let mut differs = [false; BUCKETS];
        for bucket in buckets {
            if let Some(flag) = differs.get_mut(usize::from(*bucket)) {
                *flag = true;
            }
        }
        let sent: BTreeMap<SocketAddr, Rank> = theirs.iter().copied().collect();
        let mut newer_here = self.members.in_buckets(zone, &differs);
        newer_here.retain(|ours| {
            let theirs = sent.get(&ours.vm.worker.address);
            theirs.is_none_or(|theirs| rank(ours) > *theirs)
        });
        if !newer_here.is_empty() {
            send(turn, from, MemberMessage::Known(newer_here));
        }
        let newer_there: Vec<SocketAddr> = theirs
            .iter()
            .filter(|(address, theirs)| {
                let ours = self.members.get(*address);
                ours.is_none_or(|ours| rank(ours) < *theirs)
            })
            .map(|(address, _)| *address)
            .collect();
        if !newer_there.is_empty() {
            send(turn, from, MemberMessage::Want(newer_there));
        }
    }

    /// On a gateway, sends the digests of all zones to a random gateway of another zone.
    pub(super) fn compare_with_another_zone(&mut self, turn: &mut ControlTurn<'_>) {
        if !self.gateway {
            return;
        }
        let zones: Vec<&ZoneName> = self.members.zones().collect();
        let others: Vec<&ZoneName> = zones
            .iter()
            .copied()
            .filter(|zone| **zone != self.vm.place.zone)
            .collect();
        let Some(other) = others.choose(turn.rng) else {
            return;
        };
        let Some(to) = gateways(&self.members, other).choose(turn.rng).copied() else {
            return;
        };
        let digests = zones
            .iter()
            .map(|zone| ((*zone).clone(), self.members.zone_digest(zone)))
            .collect();
        send(turn, to, MemberMessage::ZoneDigests(digests));
    }

    /// Sends the digests of the called services to a gateway of the own zone, which answers with
    /// the workers that differ and subscribes this daemon to changes.
    pub(super) fn send_interests(&mut self, turn: &mut ControlTurn<'_>) {
        if self.gateway {
            return;
        }
        let zone = &self.vm.place.zone;
        let services: Vec<(ServiceName, u64)> = self
            .interests
            .services()
            .map(|service| (service.clone(), self.members.service_digest(service, zone)))
            .collect();
        if services.is_empty() {
            return;
        }
        if let Some(to) = gateways(&self.members, zone).choose(turn.rng).copied() {
            send(turn, to, MemberMessage::Interest(services));
        }
    }

    pub(super) fn interest_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        services: &[(ServiceName, u64)],
    ) {
        let zone = self.vm.place.zone.clone();
        let mut known = Vec::new();
        for (service, digest) in services {
            self.interests.subscribe(turn.now, service, from);
            if self.members.service_digest(service, &zone) != *digest {
                known.extend(self.members.of_service_outside(service, &zone).cloned());
            }
        }
        if !known.is_empty() {
            send(turn, from, MemberMessage::Known(known));
        }
    }
}

/// Which buckets differ; `None` if the other daemon uses another number of buckets.
fn differing(ours: &BucketDigests, theirs: &[u64]) -> Option<[bool; BUCKETS]> {
    if theirs.len() != BUCKETS {
        return None;
    }
    let mut differs = [false; BUCKETS];
    for (flag, (ours, theirs)) in differs.iter_mut().zip(ours.iter().zip(theirs)) {
        *flag = ours != theirs;
    }
    Some(differs)
}
