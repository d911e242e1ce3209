package membership

import (
	"math/bits"
	"slices"
	"time"

	"baobabfield.example/core/membership/random"
	"baobabfield.example/core/types"
)

// Timing and sizes of the exchange of digests.
const (
	exchangePeriod = 5 * time.Second
	// repairPeriod is the time between exchanges while differences are found.
	repairPeriod = 200 * time.Millisecond
	// membersPerBucket is the mean number of members of a bucket.
	membersPerBucket = 4
	// bucketsPerExchange bounds the buckets sent in one exchange.
	bucketsPerExchange = 48
	maxBuckets         = 128
	bucketHashBytes    = 4
	groupDigestBytes   = 16
)

// exchange is the state of the comparison of members with other hosts.
type exchange struct {
	next types.Time
	// peer is the host with which differences were found, empty for none.
	peer types.Host
}

// exchangeDigest sends a digest to a random peer when it is due.
func (m *Machine) exchangeDigest(now types.Time) {
	if now.Before(m.exchange.next) {
		return
	}
	first := m.exchange.next == 0
	m.exchange.next = now.Add(exchangePeriod)
	if first {
		m.exchange.next = now.Add(time.Duration(m.random.Below(int(exchangePeriod))))
	}
	to := m.exchange.peer
	m.exchange.peer = ""
	if to == "" {
		to = m.anyPeer()
	}
	m.send(to, m.digest())
}

// anyPeer returns a random host of the data centre, now and then a dead one, so that
// the parts of a data centre find each other again after a partition.
func (m *Machine) anyPeer() types.Host {
	wantDead := m.random.Below(4) == 0
	candidates := m.table.selectIn(m.self.DataCentre, func(r record) bool {
		return types.Host(r.host()) != m.self.Host && (r.state == Dead) == wantDead
	})
	if len(candidates) == 0 {
		return ""
	}
	i := candidates[m.random.Below(len(candidates))]
	return types.Host(m.table.records[i].host())
}

// digest summarises the members of every data centre.
func (m *Machine) digest() Digest {
	var d Digest
	for g, dc := range m.table.groups {
		d.Groups = append(d.Groups, GroupDigest{DataCentre: dc, Hash: m.table.hashes[g]})
	}
	return d
}

// compareDigest answers a digest with the buckets of the data centres that differ,
// the sender's own one first. An empty answer says that nothing differs.
func (m *Machine) compareDigest(from Member, d Digest) {
	var differing []types.DataCentre
	theirs := map[types.DataCentre]uint64{}
	for _, g := range d.Groups {
		theirs[g.DataCentre] = g.Hash
		if m.groupHash(g.DataCentre) != g.Hash {
			differing = append(differing, g.DataCentre)
		}
	}
	for i, dc := range m.table.groups {
		if _, named := theirs[dc]; !named && m.table.hashes[i] != 0 {
			differing = append(differing, dc)
		}
	}
	if i := slices.Index(differing, from.DataCentre); i > 0 {
		differing[0], differing[i] = differing[i], differing[0]
	}
	m.sendTo(from.GossipAddress, m.buckets(differing))
}

func (m *Machine) groupHash(dc types.DataCentre) uint64 {
	i := slices.Index(m.table.groups, dc)
	if i < 0 {
		return 0
	}
	return m.table.hashes[i]
}

// buckets returns the bucket hashes of as many data centres as a message holds.
func (m *Machine) buckets(dcs []types.DataCentre) Buckets {
	var b Buckets
	room := m.room()
	for _, dc := range dcs {
		n := bucketCount(len(m.table.selectIn(dc, record.digested)))
		room -= groupDigestBytes + len(dc) + n*bucketHashBytes
		if room < 0 {
			return b
		}
		b.Groups = append(b.Groups, BucketDigest{DataCentre: dc, Hashes: m.bucketHashes(dc, n)})
	}
	return b
}

// bucketCount returns the number of buckets for n members: a power of two.
func bucketCount(n int) int {
	buckets := 1 << bits.Len(uint(max(n-1, 0)/membersPerBucket))
	return min(buckets, maxBuckets)
}

// digested reports whether digests count the record.
func (r record) digested() bool { return r.confirmed() && r.state != Dead }

func (r record) bucket(count int) int { return bucketOf(r.host(), count) }

// bucketOf returns the bucket of a host.
func bucketOf(host string, count int) int { return int(random.Hash(0, host) % uint64(count)) }

func (m *Machine) bucketHashes(dc types.DataCentre, count int) []uint32 {
	hashes := make([]uint32, count)
	for _, i := range m.table.selectIn(dc, record.digested) {
		r := m.table.records[i]
		hashes[r.bucket(count)] ^= uint32(r.hash())
	}
	return hashes
}

// compareBuckets sends the members of the buckets that differ, and compares again
// soon if there were any.
func (m *Machine) compareBuckets(now types.Time, from Member, b Buckets) {
	sent := 0
	for _, g := range b.Groups {
		count := len(g.Hashes)
		if count == 0 || count > maxBuckets {
			continue
		}
		mine := m.bucketHashes(g.DataCentre, count)
		for i := range mine {
			if mine[i] == g.Hashes[i] || sent == bucketsPerExchange {
				continue
			}
			sent++
			m.sendTo(from.GossipAddress, m.bucketMembers(g.DataCentre, i, count))
		}
	}
	if sent > 0 {
		m.repairWith(now, from.Host)
	}
}

// repairWith compares again soon with a host that has differences.
func (m *Machine) repairWith(now types.Time, h types.Host) {
	m.exchange.peer = h
	m.exchange.next = min(m.exchange.next, now.Add(repairPeriod))
}

// bucketMembers returns the members of a bucket, as many as a message holds.
func (m *Machine) bucketMembers(dc types.DataCentre, bucket, count int) BucketMembers {
	out := BucketMembers{DataCentre: dc, Bucket: bucket, Count: count, Whole: true}
	room := m.room() - groupDigestBytes - len(dc)
	indexes := m.table.selectIn(dc, func(r record) bool {
		return r.digested() && r.bucket(count) == bucket
	})
	for _, i := range indexes {
		about := m.table.member(i)
		room -= memberSize(about)
		if room < 0 {
			out.Whole = false
			return out
		}
		out.Members = append(out.Members, about)
	}
	return out
}

// mergeBucket takes the members of a bucket and answers with what the sender lacks.
// Members from another data centre are passed on, those from a peer are known there.
func (m *Machine) mergeBucket(now types.Time, from Member, b BucketMembers) {
	m.learnAll(now, b.Members, from.DataCentre != m.self.DataCentre)
	if !b.Whole || b.Count <= 0 || b.Count > maxBuckets {
		return
	}
	missing := m.missingFrom(b)
	if len(missing) == 0 {
		return
	}
	m.sendTo(from.GossipAddress, BucketMembers{
		DataCentre: b.DataCentre, Bucket: b.Bucket, Count: b.Count, Members: missing,
	})
}

// missingFrom returns the members of a bucket that a whole bucket of another host
// lacks or has an older statement of, as many as a message holds.
func (m *Machine) missingFrom(b BucketMembers) []Member {
	theirs := map[types.Host]Member{}
	for _, u := range b.Members {
		theirs[u.Host] = u
	}
	var missing []Member
	room := m.room() - groupDigestBytes - len(b.DataCentre)
	for _, i := range m.table.selectIn(b.DataCentre, record.confirmed) {
		about := m.table.member(i)
		other, named := theirs[about.Host]
		switch {
		case bucketOf(string(about.Host), b.Count) != b.Bucket:
			continue
		case named && !about.supersedes(other):
			continue
		case !named && about.State == Dead:
			continue
		}
		room -= memberSize(about)
		if room < 0 {
			break
		}
		missing = append(missing, about)
	}
	return missing
}
