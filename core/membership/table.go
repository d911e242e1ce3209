package membership

import (
	"slices"
	"strings"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// record is the compact form of a Member.
type record struct {
	// text is the host followed by its mesh address and the end of its gossip
	// address; what the addresses have in common at their start is not repeated.
	text        string
	incarnation Incarnation
	group       uint16
	hostLen     uint8
	meshLen     uint8
	commonLen   uint8
	state       State
}

// maxNameBytes is the greatest length of a host's name and of its mesh address.
const maxNameBytes = 255

func (r record) host() string { return r.text[:r.hostLen] }

func (r record) mesh() string { return r.text[r.hostLen : int(r.hostLen)+int(r.meshLen)] }

func (r record) gossip() string {
	return r.mesh()[:r.commonLen] + r.text[int(r.hostLen)+int(r.meshLen):]
}

// commonPrefix returns the length of the common start of two strings.
func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// table holds the known members, ordered by host. Its records are copied before
// a change if a snapshot shares them.
type table struct {
	groups  []types.DataCentre
	records []record
	shared  bool
	// hashes holds the hash of the confirmed members of each group.
	hashes []uint64
	// live holds the hosts of each group that may own endpoints, nil where it
	// must be computed again.
	live [][]types.Host
	// owners counts the hosts of each group that may own endpoints.
	owners []int
	// index lists the records of each group, nil if it must be computed again.
	index [][]uint32
}

// find returns the index of the host's record or the place for it.
func (t *table) find(h types.Host) (int, bool) {
	return findRecord(t.records, h)
}

func findRecord(records []record, h types.Host) (int, bool) {
	return slices.BinarySearchFunc(records, string(h), func(r record, host string) int {
		return strings.Compare(r.host(), host)
	})
}

// group returns the index of a data centre and adds it if it is new.
func (t *table) group(dc types.DataCentre) int {
	i := slices.Index(t.groups, dc)
	if i >= 0 {
		return i
	}
	t.groups = append(t.groups, dc)
	t.hashes = append(t.hashes, 0)
	t.live = append(t.live, nil)
	t.owners = append(t.owners, 0)
	return len(t.groups) - 1
}

func (t *table) member(i int) Member { return unpack(t.groups, t.records[i]) }

func unpack(groups []types.DataCentre, r record) Member {
	return Member{
		Host:          types.Host(r.host()),
		DataCentre:    groups[r.group],
		MeshAddress:   r.mesh(),
		GossipAddress: r.gossip(),
		Incarnation:   r.incarnation,
		State:         r.state,
	}
}

func (t *table) get(h types.Host) (Member, bool) {
	i, ok := t.find(h)
	if !ok {
		return Member{}, false
	}
	return t.member(i), true
}

// put stores a member. It reports false if a name is too long to be stored.
func (t *table) put(m Member) bool {
	if len(m.Host) > maxNameBytes || len(m.MeshAddress) > maxNameBytes {
		return false
	}
	group := t.group(m.DataCentre)
	t.own()
	i, found := t.find(m.Host)
	if found {
		t.forget(i)
	} else {
		t.records = slices.Insert(t.records, i, record{})
	}
	if !found || t.records[i].group != uint16(group) {
		t.index = nil
	}
	common := commonPrefix(m.MeshAddress, m.GossipAddress)
	t.records[i] = record{
		text:        string(m.Host) + m.MeshAddress + m.GossipAddress[common:],
		incarnation: m.Incarnation,
		group:       uint16(group),
		hostLen:     uint8(len(m.Host)),
		meshLen:     uint8(len(m.MeshAddress)),
		commonLen:   uint8(common),
		state:       m.State,
	}
	t.hashes[group] ^= t.records[i].hash()
	t.live[group] = nil
	if t.records[i].owns() {
		t.owners[group]++
	}
	return true
}

// remove deletes a host's record.
func (t *table) remove(h types.Host) {
	i, found := t.find(h)
	if !found {
		return
	}
	t.own()
	t.forget(i)
	t.index = nil
	t.records = slices.Delete(t.records, i, i+1)
}

// forget takes record i out of the hash and the live hosts of its group.
func (t *table) forget(i int) {
	old := t.records[i]
	t.hashes[old.group] ^= old.hash()
	t.live[old.group] = nil
	if old.owns() {
		t.owners[old.group]--
	}
}

// own makes the records the table's own before a change.
func (t *table) own() {
	if !t.shared {
		return
	}
	t.records = slices.Clone(t.records)
	t.live = slices.Clone(t.live)
	t.shared = false
}

// hash returns the record's part of its group's hash: 0 for records that digests
// leave out. Suspicion does not count, since it passes or ends in death.
func (r record) hash() uint64 {
	if !r.confirmed() || r.state == Dead {
		return 0
	}
	h := random.Hash(uint64(r.incarnation), r.host())
	if r.state == Leaving {
		return random.Mix(h)
	}
	return h
}

// confirmed reports whether the host has been heard of from a host, and not
// from the platform's list alone.
func (r record) confirmed() bool { return r.incarnation > 0 }

// owns reports whether the host may own endpoints.
func (r record) owns() bool {
	return r.confirmed() && (r.state == Alive || r.state == Suspect)
}

// snapshot returns an immutable view of the table.
func (t *table) snapshot() Snapshot {
	t.computeLive()
	t.shared = true
	return Snapshot{groups: t.groups, records: t.records, live: t.live}
}

// computeLive fills in the missing lists of live hosts.
func (t *table) computeLive() {
	if !slices.ContainsFunc(t.live, func(l []types.Host) bool { return l == nil }) {
		return
	}
	if t.shared {
		t.own()
	}
	for g := range t.groups {
		if t.live[g] == nil {
			t.live[g] = t.ownersIn(g)
		}
	}
}

// ownersIn returns the hosts of a group that may own endpoints.
func (t *table) ownersIn(g int) []types.Host {
	out := []types.Host{}
	for _, i := range t.inGroup(g) {
		if r := t.records[i]; r.owns() {
			out = append(out, types.Host(r.host()))
		}
	}
	return out
}

// inGroup returns the indexes of the records of a group.
func (t *table) inGroup(g int) []uint32 {
	if t.index == nil {
		t.index = make([][]uint32, len(t.groups))
		for i, r := range t.records {
			t.index[r.group] = append(t.index[r.group], uint32(i))
		}
	}
	if g >= len(t.index) {
		return nil
	}
	return t.index[g]
}

// liveIn returns the hosts of a data centre that may own endpoints.
func (t *table) liveIn(dc types.DataCentre) []types.Host {
	t.computeLive()
	return t.live[t.group(dc)]
}

// countIn returns the number of hosts of a data centre that may own endpoints.
func (t *table) countIn(dc types.DataCentre) int { return t.owners[t.group(dc)] }

// selectIn returns the indexes of the records of a group that the filter accepts.
func (t *table) selectIn(dc types.DataCentre, accept func(record) bool) []int {
	var out []int
	for _, i := range t.inGroup(t.group(dc)) {
		if accept(t.records[i]) {
			out = append(out, int(i))
		}
	}
	return out
}
