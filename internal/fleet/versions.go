package fleet

import "time"

// serviceVersions is the history of a service's versions, by the entries in the store. The
// directory's mutex guards it.
type serviceVersions struct {
	// entries counts the present entries by version, and lastSeen holds when the last entry of
	// a version that has none was removed.
	entries  map[publishedVersion]int
	lastSeen map[publishedVersion]time.Duration
}

// publishedVersion is a version as known here. Two unknown versions may differ.
type publishedVersion struct {
	version string
	unknown bool
}

// maxPastVersions bounds the versions of a service that are remembered without an entry.
const maxPastVersions = 64

func versionOf(replica *Replica) publishedVersion {
	return publishedVersion{version: replica.Version, unknown: replica.VersionUnknown}
}

// addVersion counts a new entry. The caller must hold the mutex.
func (d *Directory) addVersion(replica *Replica) {
	versions, found := d.versions[replica.Service]
	if !found {
		versions = &serviceVersions{entries: map[publishedVersion]int{}, lastSeen: map[publishedVersion]time.Duration{}}
		d.versions[replica.Service] = versions
	}
	versions.entries[versionOf(replica)]++
}

// removeVersion counts a removed entry. The caller must hold the mutex.
func (d *Directory) removeVersion(replica *Replica, now time.Duration) {
	versions, found := d.versions[replica.Service]
	if !found {
		return
	}
	version := versionOf(replica)
	versions.entries[version]--
	if versions.entries[version] > 0 {
		return
	}
	delete(versions.entries, version)
	versions.lastSeen[version] = now
	if len(versions.lastSeen) > maxPastVersions {
		versions.forgetOldest()
	}
}

func (v *serviceVersions) forgetOldest() {
	var oldest publishedVersion
	found := false
	for version, seen := range v.lastSeen {
		if !found || seen < v.lastSeen[oldest] {
			oldest, found = version, true
		}
	}
	delete(v.lastSeen, oldest)
}

// VersionSpan tells for how long a service's replicas have had only one version.
type VersionSpan struct {
	// Only reports that all entries have Version. Age is how long no entry of another version
	// has been known. Without Only, the replicas have several versions, an unknown one, or there
	// is none.
	Only    bool
	Version string
	Age     time.Duration
	// Several reports that entries with at least two versions are present.
	Several bool
	// StreamLifetime is the longest time after its beginning at which a stream of the service may be
	// resumed, as far as is known; 0 if nothing is.
	StreamLifetime time.Duration
	// Confirmed is the last time at which the store had nothing that the view lacks; zero if that is
	// not known. A Directory leaves it unset.
	Confirmed time.Time
}

// VersionSpan returns the versions of a service by the store's content as known to this node,
// which may be outdated.
func (d *Directory) VersionSpan(service string, now time.Duration) VersionSpan {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	versions, found := d.versions[service]
	if !found || len(versions.entries) != 1 {
		return VersionSpan{Several: found && len(versions.entries) > 1}
	}
	var present publishedVersion
	for present = range versions.entries {
		if present.unknown {
			return VersionSpan{}
		}
	}
	since := d.completeSince
	for past, seen := range versions.lastSeen {
		if past != present {
			since = max(since, seen)
		}
	}
	return VersionSpan{Only: true, Version: present.version, Age: now - since}
}

// MissedChanges records that entries may have been added and removed unseen until now, so that the
// histories of versions begin anew.
func (d *Directory) MissedChanges(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.completeSince = now
}

// Confirms reports whether a replica is the one that its instance's present entry describes, with
// the same version. A replica without an entry is confirmed if each start has a new instance: the
// instance fixes the version. Where instances restart, it may have started again at another version and
// not have written its entry yet.
func (d *Directory) Confirms(replica *Replica) bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	known, found := d.replicas[replica.Instance]
	if !found {
		return replica.StartedAtMs == 0
	}
	return known.incarnationID == replica.IncarnationID() && versionOf(&known.replica) == versionOf(replica)
}
