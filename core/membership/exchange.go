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
	exchangeInterval = 2 * time.Second
	// repairInterval is the time between exchanges while differences are found.
	repairInterval = 500 * time.Millisecond
	// meanMembersPerBucket bounds the mean number of members of a bucket.
	meanMembersPerBucket = 4
	// maxBucketsPerExchange bounds the buckets compared in one exchange.
	maxBucketsPerExchange = 16
	maxBuckets            = 128
	bucketHashBytes       = 4
	dataCentreDigestBytes = 16
	bucketSummaryBytes    = 8
)

// digestExchange is the state of the anti-entropy exchange with other hosts.
type digestExchange struct {
	nextAt types.Time
	// mismatchedPeer is the host with which differences were found; empty for none.
	mismatchedPeer types.Host
}

// sendDigestIfDue sends a digest to a random peer when it is due.
func (m *Machine) sendDigestIfDue(now types.Time) {
	if now.Before(m.exchange.nextAt) {
		return
	}
	isFirst := m.exchange.nextAt == 0
	m.exchange.nextAt = now.Add(exchangeInterval)
	if isFirst {
		m.exchange.nextAt = now.Add(time.Duration(m.random.IntN(int(exchangeInterval))))
	}
	to := m.exchange.mismatchedPeer
	m.exchange.mismatchedPeer = ""
	if to == "" {
		to = m.randomExchangePeer()
	}
	m.sendToHost(to, m.makeDigest())
}

// randomExchangePeer returns a random host of the data centre, one time in four a dead
// one. Dead hosts are included so that the parts of a data centre merge again after a
// partition.
func (m *Machine) randomExchangePeer() types.Host {
	wantsDead := m.random.IntN(4) == 0
	candidates := m.table.selectRecords(m.self.DataCentre, func(r record) bool {
		return types.Host(r.host()) != m.self.Host && (r.state == Dead) == wantsDead
	})
	if len(candidates) == 0 {
		return ""
	}
	i := candidates[m.random.IntN(len(candidates))]
	return types.Host(m.table.records[i].host())
}

// makeDigest summarises the members of every data centre.
func (m *Machine) makeDigest() Digest {
	var d Digest
	for dcIndex, dc := range m.table.dataCentres {
		d.DataCentres = append(d.DataCentres, DataCentreDigest{DataCentre: dc, Hash: m.table.memberHashes[dcIndex]})
	}
	return d
}

// handleDigest responds to a digest with the buckets of the data centres that differ,
// the sender's own one first. An empty response means that nothing differs.
func (m *Machine) handleDigest(from Member, d Digest) {
	var differing []types.DataCentre
	senderHashes := map[types.DataCentre]uint64{}
	for _, remote := range d.DataCentres {
		senderHashes[remote.DataCentre] = remote.Hash
		if m.dataCentreHash(remote.DataCentre) != remote.Hash {
			differing = append(differing, remote.DataCentre)
		}
	}
	for i, dc := range m.table.dataCentres {
		if _, present := senderHashes[dc]; !present && m.table.memberHashes[i] != 0 {
			differing = append(differing, dc)
		}
	}
	if i := slices.Index(differing, from.DataCentre); i > 0 {
		differing[0], differing[i] = differing[i], differing[0]
	}
	m.sendToAddress(from.GossipAddress, m.bucketDigests(differing))
}

// dataCentreHash returns the hash of a data centre's members; 0 if it is unknown.
func (m *Machine) dataCentreHash(dc types.DataCentre) uint64 {
	i := slices.Index(m.table.dataCentres, dc)
	if i < 0 {
		return 0
	}
	return m.table.memberHashes[i]
}

// bucketDigests returns the bucket hashes of as many data centres as fit into a
// message.
func (m *Machine) bucketDigests(dcs []types.DataCentre) Buckets {
	var b Buckets
	available := m.availableBodyBytes()
	for _, dc := range dcs {
		n := bucketCount(len(m.table.selectRecords(dc, record.isDigested)))
		available -= dataCentreDigestBytes + len(dc) + n*bucketHashBytes
		if available < 0 {
			return b
		}
		b.DataCentres = append(b.DataCentres, BucketDigest{DataCentre: dc, Hashes: m.bucketHashes(dc, n)})
	}
	return b
}

// bucketCount returns the number of buckets for n members: a power of two.
func bucketCount(n int) int {
	buckets := 1 << bits.Len(uint(max(n-1, 0)/meanMembersPerBucket))
	return min(buckets, maxBuckets)
}

// isDigested reports whether digests include the record.
func (r record) isDigested() bool { return r.isConfirmed() && r.state != Dead }

func (r record) bucketIndex(count int) int { return bucketForHost(r.host(), count) }

// bucketForHost returns the bucket of a host.
func bucketForHost(host string, count int) int { return int(random.Hash(0, host) % uint64(count)) }

func (m *Machine) bucketHashes(dc types.DataCentre, count int) []uint32 {
	hashes := make([]uint32, count)
	for _, i := range m.table.selectRecords(dc, record.isDigested) {
		r := m.table.records[i]
		hashes[r.bucketIndex(count)] ^= uint32(r.hash())
	}
	return hashes
}

// handleBuckets sends summaries of the buckets that differ. If there are any and the
// sender is in the same data centre, it schedules another exchange with the sender soon.
// The exchanges with other data centres stay periodic, which limits the load on relays.
func (m *Machine) handleBuckets(now types.Time, from Member, b Buckets) {
	remaining := maxBucketsPerExchange
	for _, g := range b.DataCentres {
		count := len(g.Hashes)
		if count == 0 || count > maxBuckets {
			continue
		}
		var differing []int
		for i, hash := range m.bucketHashes(g.DataCentre, count) {
			if hash != g.Hashes[i] && len(differing) < remaining {
				differing = append(differing, i)
			}
		}
		remaining -= len(differing)
		m.sendSummaries(from.GossipAddress, Summaries{DataCentre: g.DataCentre, Count: count}, differing)
	}
	if remaining < maxBucketsPerExchange && from.DataCentre == m.self.DataCentre {
		m.scheduleRepair(now, from.Host)
	}
}

// scheduleRepair sends the next digest soon to a host with which differences were
// found.
func (m *Machine) scheduleRepair(now types.Time, h types.Host) {
	m.exchange.mismatchedPeer = h
	m.exchange.nextAt = min(m.exchange.nextAt, now.Add(repairInterval))
}

// sendSummaries sends the hashes of the members of some buckets, in as many messages
// as needed.
func (m *Machine) sendSummaries(address string, s Summaries, buckets []int) {
	available := m.availableBodyBytes() - dataCentreDigestBytes - len(s.DataCentre)
	remaining := available
	for _, b := range m.summarizeBuckets(s.DataCentre, s.Count, buckets) {
		size := bucketSummaryBytes + bucketHashBytes*len(b.Hashes)
		if size > remaining && len(s.Buckets) > 0 {
			m.sendToAddress(address, s)
			s.Buckets = nil
			remaining = available
		}
		if size > available {
			continue
		}
		remaining -= size
		s.Buckets = append(s.Buckets, b)
	}
	if len(s.Buckets) > 0 {
		m.sendToAddress(address, s)
	}
}

// summarizeBuckets returns the hashes of the members of some buckets.
func (m *Machine) summarizeBuckets(dc types.DataCentre, count int, buckets []int) []BucketSummary {
	out := make([]BucketSummary, len(buckets))
	for i, b := range buckets {
		out[i].Bucket = b
	}
	for _, i := range m.table.selectRecords(dc, record.isDigested) {
		r := m.table.records[i]
		if pos := slices.Index(buckets, r.bucketIndex(count)); pos >= 0 {
			out[pos].Hashes = append(out[pos].Hashes, uint32(r.hash()))
		}
	}
	return out
}

// handleSummaries sends the members that the sender lacks. Unless the message is a
// response, it also requests the members that this host lacks.
func (m *Machine) handleSummaries(from Member, s Summaries) {
	if s.Count <= 0 || s.Count > maxBuckets {
		return
	}
	senderHashes := map[int][]uint32{}
	for _, b := range s.Buckets {
		senderHashes[b.Bucket] = b.Hashes
	}
	matching := map[int]int{}
	var missing []Member
	for _, i := range m.table.selectRecords(s.DataCentre, record.isDigested) {
		r := m.table.records[i]
		b := r.bucketIndex(s.Count)
		hashes, listed := senderHashes[b]
		switch {
		case !listed:
		case slices.Contains(hashes, uint32(r.hash())):
			matching[b]++
		default:
			missing = append(missing, m.table.member(i))
		}
	}
	m.sendMembers(from.GossipAddress, missing)
	if s.IsResponse {
		return
	}
	var wanted []int
	for _, b := range s.Buckets {
		if matching[b.Bucket] < len(b.Hashes) {
			wanted = append(wanted, b.Bucket)
		}
	}
	m.sendSummaries(from.GossipAddress, Summaries{DataCentre: s.DataCentre, Count: s.Count, IsResponse: true}, wanted)
}

// sendMembers sends members in as many messages as needed.
func (m *Machine) sendMembers(address string, members []Member) {
	available := m.availableBodyBytes()
	remaining := available
	var batch []Member
	for _, member := range members {
		size := memberSizeBytes(member)
		if size > remaining && len(batch) > 0 {
			m.sendToAddress(address, Members{Members: batch})
			batch, remaining = nil, available
		}
		remaining -= size
		batch = append(batch, member)
	}
	if len(batch) > 0 {
		m.sendToAddress(address, Members{Members: batch})
	}
}

// handleMembers applies members and responds with newer descriptions of them. It does
// not piggyback the members, so that a long list does not delay other changes. They
// reach the other hosts of the data centre through exchanges of digests.
func (m *Machine) handleMembers(now types.Time, from Member, b Members) {
	var newer []Member
	for _, u := range b.Members {
		member, known := m.table.get(u.Host)
		if known && member.supersedes(u) && member.Incarnation > 0 && member.State != Suspect {
			newer = append(newer, member)
		}
	}
	m.applyUpdates(now, b.Members, false)
	m.sendMembers(from.GossipAddress, newer)
}
