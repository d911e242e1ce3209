package config

import (
	"time"

	"baobabfield.example/core/types"
)

// receive handles a message from another host.
func (d *Distributor) receive(now types.Time, msg PeerMessage) {
	switch body := msg.Body.(type) {
	case Push:
		d.spread(d.apply(body.Objects), msg.From)
	case Digest:
		d.compareDigest(msg.From, body)
	case Buckets:
		d.compareBuckets(msg.From, body)
	case Versions:
		d.compareVersions(msg.From, body)
	case Fetch:
		d.answerFetch(msg.From, body)
	case FetchAll:
		d.answerFetchAll(now, msg.From)
	case Busy:
		d.nextFetch = min(d.nextFetch, now.Add(busyDelay/2+d.upTo(busyDelay)))
	}
}

// compareDigest starts a comparison by buckets if the configurations differ. If
// they are equal and one of the hosts is complete, both are.
func (d *Distributor) compareDigest(from types.Host, theirs Digest) {
	if theirs.Hash != d.store.Digest() {
		d.send(from, Buckets{Hashes: d.store.bucketHashes()})
		return
	}
	switch {
	case theirs.Complete:
		d.setComplete()
	case d.store.complete:
		d.send(from, d.digest())
	}
}

// compareBuckets answers with the versions in the buckets that differ.
func (d *Distributor) compareBuckets(from types.Host, theirs Buckets) {
	if len(theirs.Hashes) != bucketCount {
		return
	}
	var v Versions
	for i, hash := range d.store.bucketHashes() {
		if hash != theirs.Hashes[i] {
			v.Buckets = append(v.Buckets, i)
		}
	}
	if len(v.Buckets) == 0 {
		return
	}
	for _, o := range d.store.inBuckets(v.Buckets) {
		v.Versions = append(v.Versions, ObjectVersion{Key: o.Key, Version: o.Version})
	}
	d.send(from, v)
}

// compareVersions sends the objects that are newer here and asks for those that
// are newer there.
func (d *Distributor) compareVersions(from types.Host, theirs Versions) {
	known := make(map[Key]Version, len(theirs.Versions))
	var wanted []Key
	for _, v := range theirs.Versions {
		known[v.Key] = v.Version
		mine, _ := d.store.get(v.Key)
		if mine.Version < v.Version {
			wanted = append(wanted, v.Key)
		}
	}
	var newer []Object
	for _, o := range d.store.inBuckets(theirs.Buckets) {
		if o.Version > known[o.Key] {
			newer = append(newer, o)
		}
	}
	d.push(from, newer)
	if len(wanted) > 0 {
		d.send(from, Fetch{Keys: wanted})
	}
}

func (d *Distributor) answerFetch(from types.Host, f Fetch) {
	var objects []Object
	for _, k := range f.Keys {
		if o, found := d.store.get(k); found {
			objects = append(objects, o)
		}
	}
	d.push(from, objects)
}

// answerFetchAll sends the whole configuration, unless this host lacks it too or
// has sent it to enough others in this second.
func (d *Distributor) answerFetchAll(now types.Time, from types.Host) {
	if now.Sub(d.windowStart) >= time.Second {
		d.windowStart = now
		d.transfers = 0
	}
	if !d.store.complete || d.transfers >= transfersPerSecond {
		d.send(from, Busy{})
		return
	}
	d.transfers++
	d.push(from, d.store.objects)
	d.send(from, d.digest())
}
