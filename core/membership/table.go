package membership

import (
	"slices"
	"strings"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// record is the compact form of a Member.
type record struct {
	// text is the host followed by its mesh address and the end of its gossip address.
	// The prefix that both addresses share is stored once.
	text        string
	incarnation Incarnation
	dcIndex     uint16
	hostLen     uint8
	meshLen     uint8
	prefixLen   uint8
	state       State
}

// maxTextBytes is the greatest length of a host's name and of its mesh address. A
// record stores each of these lengths in one byte.
const maxTextBytes = 255

func (r record) host() string { return r.text[:r.hostLen] }

func (r record) meshAddress() string { return r.text[r.hostLen : int(r.hostLen)+int(r.meshLen)] }

func (r record) gossipAddress() string {
	return r.meshAddress()[:r.prefixLen] + r.text[int(r.hostLen)+int(r.meshLen):]
}

// commonPrefixLength returns the length of the common prefix of two strings.
func commonPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// table holds the known members, ordered by host. A change copies the records first if
// a snapshot shares them.
type table struct {
	dataCentres []types.DataCentre
	records     []record
	isShared    bool
	// memberHashes holds, by data centre, the hash of its confirmed members.
	memberHashes []uint64
	// liveHosts holds, by data centre, the live hosts, which may own endpoints; nil where
	// the list must be recomputed.
	liveHosts [][]types.Host
	// liveCounts holds, by data centre, the number of live hosts.
	liveCounts []int
	// recordIndex lists the indexes of the records by data centre; nil if it must be
	// recomputed.
	recordIndex [][]uint32
}

// findIndex returns the index of the host's record, or the index at which to insert
// it.
func (t *table) findIndex(h types.Host) (int, bool) {
	return findRecord(t.records, h)
}

func findRecord(records []record, h types.Host) (int, bool) {
	return slices.BinarySearchFunc(records, string(h), func(r record, host string) int {
		return strings.Compare(r.host(), host)
	})
}

// ensureDataCentre returns the index of a data centre, and adds it if it is new.
func (t *table) ensureDataCentre(dc types.DataCentre) int {
	i := slices.Index(t.dataCentres, dc)
	if i >= 0 {
		return i
	}
	t.dataCentres = append(t.dataCentres, dc)
	t.memberHashes = append(t.memberHashes, 0)
	t.liveHosts = append(t.liveHosts, nil)
	t.liveCounts = append(t.liveCounts, 0)
	return len(t.dataCentres) - 1
}

func (t *table) member(i int) Member { return unpackMember(t.dataCentres, t.records[i]) }

func unpackMember(dataCentres []types.DataCentre, r record) Member {
	return Member{
		Host:          types.Host(r.host()),
		DataCentre:    dataCentres[r.dcIndex],
		MeshAddress:   r.meshAddress(),
		GossipAddress: r.gossipAddress(),
		Incarnation:   r.incarnation,
		State:         r.state,
	}
}

func (t *table) get(h types.Host) (Member, bool) {
	i, ok := t.findIndex(h)
	if !ok {
		return Member{}, false
	}
	return t.member(i), true
}

// put stores a member. It returns false if a text is too long to be stored.
func (t *table) put(m Member) bool {
	if len(m.Host) > maxTextBytes || len(m.MeshAddress) > maxTextBytes {
		return false
	}
	dcIndex := t.ensureDataCentre(m.DataCentre)
	t.copyIfShared()
	i, found := t.findIndex(m.Host)
	if found {
		t.removeFromAggregates(i)
	} else {
		t.records = slices.Insert(t.records, i, record{})
	}
	if !found || t.records[i].dcIndex != uint16(dcIndex) {
		t.recordIndex = nil
	}
	prefixLen := commonPrefixLength(m.MeshAddress, m.GossipAddress)
	t.records[i] = record{
		text:        string(m.Host) + m.MeshAddress + m.GossipAddress[prefixLen:],
		incarnation: m.Incarnation,
		dcIndex:     uint16(dcIndex),
		hostLen:     uint8(len(m.Host)),
		meshLen:     uint8(len(m.MeshAddress)),
		prefixLen:   uint8(prefixLen),
		state:       m.State,
	}
	t.memberHashes[dcIndex] ^= t.records[i].hash()
	t.liveHosts[dcIndex] = nil
	if t.records[i].isLive() {
		t.liveCounts[dcIndex]++
	}
	return true
}

// remove deletes a host's record.
func (t *table) remove(h types.Host) {
	i, found := t.findIndex(h)
	if !found {
		return
	}
	t.copyIfShared()
	t.removeFromAggregates(i)
	t.recordIndex = nil
	t.records = slices.Delete(t.records, i, i+1)
}

// removeFromAggregates removes record i from its data centre's hash, count and list of
// live hosts.
func (t *table) removeFromAggregates(i int) {
	old := t.records[i]
	t.memberHashes[old.dcIndex] ^= old.hash()
	t.liveHosts[old.dcIndex] = nil
	if old.isLive() {
		t.liveCounts[old.dcIndex]--
	}
}

// copyIfShared copies the records before a change if a snapshot shares them.
func (t *table) copyIfShared() {
	if !t.isShared {
		return
	}
	t.records = slices.Clone(t.records)
	t.liveHosts = slices.Clone(t.liveHosts)
	t.isShared = false
}

// hash returns the record's part of its data centre's hash; 0 for records that digests
// exclude. The states Alive and Suspect give the same hash, since a suspicion soon ends
// in one of the states Alive and Dead.
func (r record) hash() uint64 {
	if !r.isConfirmed() || r.state == Dead {
		return 0
	}
	h := random.Hash(uint64(r.incarnation), r.host())
	if r.state == Leaving {
		return random.Mix(h)
	}
	return h
}

// isConfirmed reports whether the host is known from gossip and not only from the
// platform's list.
func (r record) isConfirmed() bool { return r.incarnation > 0 }

// isLive reports whether the host may own endpoints: confirmed hosts that are alive or
// suspect.
func (r record) isLive() bool {
	return r.isConfirmed() && (r.state == Alive || r.state == Suspect)
}

// snapshot returns an immutable view of the table.
func (t *table) snapshot() Snapshot {
	t.fillLiveHosts()
	t.isShared = true
	return Snapshot{dataCentres: t.dataCentres, records: t.records, liveHosts: t.liveHosts}
}

// fillLiveHosts computes the missing lists of live hosts.
func (t *table) fillLiveHosts() {
	if !slices.ContainsFunc(t.liveHosts, func(l []types.Host) bool { return l == nil }) {
		return
	}
	if t.isShared {
		t.copyIfShared()
	}
	for dcIndex := range t.dataCentres {
		if t.liveHosts[dcIndex] == nil {
			t.liveHosts[dcIndex] = t.listLiveHosts(dcIndex)
		}
	}
}

// listLiveHosts returns the hosts of a data centre that may own endpoints.
func (t *table) listLiveHosts(dcIndex int) []types.Host {
	out := []types.Host{}
	for _, i := range t.recordsOf(dcIndex) {
		if r := t.records[i]; r.isLive() {
			out = append(out, types.Host(r.host()))
		}
	}
	return out
}

// recordsOf returns the indexes of the records of a data centre.
func (t *table) recordsOf(dcIndex int) []uint32 {
	if t.recordIndex == nil {
		t.recordIndex = make([][]uint32, len(t.dataCentres))
		for i, r := range t.records {
			t.recordIndex[r.dcIndex] = append(t.recordIndex[r.dcIndex], uint32(i))
		}
	}
	if dcIndex >= len(t.recordIndex) {
		return nil
	}
	return t.recordIndex[dcIndex]
}

// liveHostsIn returns the hosts of a data centre that may own endpoints.
func (t *table) liveHostsIn(dc types.DataCentre) []types.Host {
	t.fillLiveHosts()
	return t.liveHosts[t.ensureDataCentre(dc)]
}

// countLiveIn returns the number of hosts of a data centre that may own endpoints.
func (t *table) countLiveIn(dc types.DataCentre) int { return t.liveCounts[t.ensureDataCentre(dc)] }

// selectRecords returns the indexes of the records of a data centre that the filter
// accepts.
func (t *table) selectRecords(dc types.DataCentre, accept func(record) bool) []int {
	var out []int
	for _, i := range t.recordsOf(t.ensureDataCentre(dc)) {
		if accept(t.records[i]) {
			out = append(out, int(i))
		}
	}
	return out
}
