package membership

import (
	"math/bits"
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Timing and sizes of the exchange of digests.
const (
	exchangePeriod = 2 * time.Second
	// repairPeriod is the time between exchanges while differences are found.
	repairPeriod = 500 * time.Millisecond
	// membersPerBucket is the mean number of members of a bucket.
	membersPerBucket = 4
	// bucketsPerExchange bounds the buckets sent in one exchange.
	bucketsPerExchange = 16
	maxBuckets         = 128
	bucketHashBytes    = 4
	groupDigestBytes   = 16
	bucketSummaryBytes = 8
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
		m.exchange.next = now.Add(time.Duration(m.random.IntN(int(exchangePeriod))))
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
	wantDead := m.random.IntN(4) == 0
	candidates := m.table.selectIn(m.self.DataCentre, func(r record) bool {
		return types.Host(r.host()) != m.self.Host && (r.state == Dead) == wantDead
	})
	if len(candidates) == 0 {
		return ""
	}
	i := candidates[m.random.IntN(len(candidates))]
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

// compareBuckets sends summaries of the buckets that differ, and compares again soon
// if there were any. Other data centres have their turn with each relay instead, so
// that their few relays are not asked too often.
func (m *Machine) compareBuckets(now types.Time, from Member, b Buckets) {
	left := bucketsPerExchange
	for _, g := range b.Groups {
		count := len(g.Hashes)
		if count == 0 || count > maxBuckets {
			continue
		}
		var differing []int
		for i, hash := range m.bucketHashes(g.DataCentre, count) {
			if hash != g.Hashes[i] && len(differing) < left {
				differing = append(differing, i)
			}
		}
		left -= len(differing)
		m.sendSummaries(from.GossipAddress, Summaries{DataCentre: g.DataCentre, Count: count}, differing)
	}
	if left < bucketsPerExchange && from.DataCentre == m.self.DataCentre {
		m.repairWith(now, from.Host)
	}
}

// repairWith compares again soon with a host that has differences.
func (m *Machine) repairWith(now types.Time, h types.Host) {
	m.exchange.peer = h
	m.exchange.next = min(m.exchange.next, now.Add(repairPeriod))
}

// sendSummaries sends the hashes of the members of some buckets, in as many messages
// as needed.
func (m *Machine) sendSummaries(address string, s Summaries, buckets []int) {
	room := m.room() - groupDigestBytes - len(s.DataCentre)
	left := room
	for _, b := range m.summarize(s.DataCentre, s.Count, buckets) {
		size := bucketSummaryBytes + bucketHashBytes*len(b.Hashes)
		if size > left && len(s.Buckets) > 0 {
			m.sendTo(address, s)
			s.Buckets = nil
			left = room
		}
		if size > room {
			continue
		}
		left -= size
		s.Buckets = append(s.Buckets, b)
	}
	if len(s.Buckets) > 0 {
		m.sendTo(address, s)
	}
}

// summarize returns the hashes of the members of some buckets.
func (m *Machine) summarize(dc types.DataCentre, count int, buckets []int) []BucketSummary {
	out := make([]BucketSummary, len(buckets))
	for i, b := range buckets {
		out[i].Bucket = b
	}
	for _, i := range m.table.selectIn(dc, record.digested) {
		r := m.table.records[i]
		if at := slices.Index(buckets, r.bucket(count)); at >= 0 {
			out[at].Hashes = append(out[at].Hashes, uint32(r.hash()))
		}
	}
	return out
}

// compareSummaries sends the members that the sender lacks, and asks in turn for
// those that it has and this host lacks.
func (m *Machine) compareSummaries(from Member, s Summaries) {
	if s.Count <= 0 || s.Count > maxBuckets {
		return
	}
	theirs := map[int][]uint32{}
	for _, b := range s.Buckets {
		theirs[b.Bucket] = b.Hashes
	}
	known := map[int]int{}
	var missing []Member
	for _, i := range m.table.selectIn(s.DataCentre, record.digested) {
		r := m.table.records[i]
		b := r.bucket(s.Count)
		hashes, named := theirs[b]
		switch {
		case !named:
		case slices.Contains(hashes, uint32(r.hash())):
			known[b]++
		default:
			missing = append(missing, m.table.member(i))
		}
	}
	m.sendMembers(from.GossipAddress, missing)
	if s.Answer {
		return
	}
	var wanted []int
	for _, b := range s.Buckets {
		if known[b.Bucket] < len(b.Hashes) {
			wanted = append(wanted, b.Bucket)
		}
	}
	m.sendSummaries(from.GossipAddress, Summaries{DataCentre: s.DataCentre, Count: s.Count, Answer: true}, wanted)
}

// sendMembers sends members in as many messages as needed.
func (m *Machine) sendMembers(address string, members []Member) {
	room := m.room()
	left := room
	var batch []Member
	for _, about := range members {
		size := memberSize(about)
		if size > left && len(batch) > 0 {
			m.sendTo(address, Members{Members: batch})
			batch, left = nil, room
		}
		left -= size
		batch = append(batch, about)
	}
	if len(batch) > 0 {
		m.sendTo(address, Members{Members: batch})
	}
}

// mergeMembers takes members and answers with newer statements about them. They are
// not piggybacked, so that a long list does not delay news: the exchanges inside the
// data centre pass them on.
func (m *Machine) mergeMembers(now types.Time, from Member, b Members) {
	var newer []Member
	for _, u := range b.Members {
		about, known := m.table.get(u.Host)
		if known && about.supersedes(u) && about.Incarnation > 0 && about.State != Suspect {
			newer = append(newer, about)
		}
	}
	m.learnAll(now, b.Members, false)
	m.sendMembers(from.GossipAddress, newer)
}
