package config

import (
	"time"

	"baobabfield.example/core/types"
)

// receive handles a message from another host.
func (d *Distributor) receive(now types.Time, msg PeerMessage) {
	switch body := msg.Body.(type) {
	case Push:
		d.forwardInDataCentre(d.applyNewer(body.Objects), msg.From)
	case Digest:
		d.compareDigest(msg.From, body)
	case Buckets:
		d.compareBuckets(msg.From, body)
	case Versions:
		d.compareVersions(msg.From, body)
	case Fetch:
		d.replyToFetch(msg.From, body)
	case FetchAll:
		d.replyToFetchAll(now, msg.From)
	case Busy:
		d.nextFetch = min(d.nextFetch, now.Add(busyRetryDelay/2+d.randomDuration(busyRetryDelay)))
	}
}

// compareDigest starts a comparison by buckets if the configurations differ. If
// they are equal and complete at one of the hosts, they are complete at both.
func (d *Distributor) compareDigest(from types.Host, remote Digest) {
	if remote.Hash != d.store.Digest() {
		d.send(from, Buckets{Hashes: d.store.bucketHashes()})
		return
	}
	switch {
	case remote.Complete:
		d.setComplete()
	case d.store.complete:
		d.send(from, d.digest())
	}
}

// compareBuckets sends the versions of the objects in the buckets that differ.
func (d *Distributor) compareBuckets(from types.Host, remote Buckets) {
	if len(remote.Hashes) != bucketCount {
		return
	}
	var v Versions
	for i, hash := range d.store.bucketHashes() {
		if hash != remote.Hashes[i] {
			v.Buckets = append(v.Buckets, i)
		}
	}
	if len(v.Buckets) == 0 {
		return
	}
	for _, o := range d.store.objectsInBuckets(v.Buckets) {
		v.Versions = append(v.Versions, ObjectVersion{Key: o.Key, Version: o.Version})
	}
	d.send(from, v)
}

// compareVersions pushes the objects that are newer at this host and requests those
// that are newer at the other host.
func (d *Distributor) compareVersions(from types.Host, remote Versions) {
	known := make(map[Key]Version, len(remote.Versions))
	var missing []Key
	for _, v := range remote.Versions {
		known[v.Key] = v.Version
		local, _ := d.store.object(v.Key)
		if local.Version < v.Version {
			missing = append(missing, v.Key)
		}
	}
	var newer []Object
	for _, o := range d.store.objectsInBuckets(remote.Buckets) {
		if o.Version > known[o.Key] {
			newer = append(newer, o)
		}
	}
	d.pushObjects(from, newer)
	if len(missing) > 0 {
		d.send(from, Fetch{Keys: missing})
	}
}

func (d *Distributor) replyToFetch(from types.Host, f Fetch) {
	var objects []Object
	for _, k := range f.Keys {
		if o, found := d.store.object(k); found {
			objects = append(objects, o)
		}
	}
	d.pushObjects(from, objects)
}

// replyToFetchAll sends the complete configuration. It sends Busy if this host lacks
// it too or has reached maxTransfersPerSecond.
func (d *Distributor) replyToFetchAll(now types.Time, from types.Host) {
	if now.Sub(d.transferWindowStart) >= time.Second {
		d.transferWindowStart = now
		d.transferCount = 0
	}
	if !d.store.complete || d.transferCount >= maxTransfersPerSecond {
		d.send(from, Busy{})
		return
	}
	d.transferCount++
	d.pushObjects(from, d.store.objects)
	d.send(from, d.digest())
}
