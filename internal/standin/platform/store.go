// Package platform simulates the platform: the key-value service and the VM list over HTTP and
// JSON, with fault injection for tests.
package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// maxKeptRevisions is the maximum number of revisions kept per key, including the current one.
// Stale reads return the older ones.
const maxKeptRevisions = 8

// lease is the state of one lease.
type lease struct {
	holder       string
	fencingToken uint64
	expiresAt    time.Time
}

// vmListVersion is the VM list from validFrom until the next version.
type vmListVersion struct {
	validFrom time.Time
	vms       []platform.VM
}

// store is the state of the platform: records, leases and the VM list with its history.
type store struct {
	now func() time.Time

	mu sync.Mutex
	// recordHistory contains the latest revisions of each key, oldest first.
	recordHistory map[string][]platform.Record
	// changed is closed and replaced to wake the pending watches.
	changed chan struct{}
	leases  map[string]lease
	vms     map[string]platform.VM
	// vmListHistory contains all versions of the VM list, oldest first, so that reads can lag.
	vmListHistory []vmListVersion
}

func newStore(now func() time.Time) *store {
	return &store{
		now:           now,
		recordHistory: map[string][]platform.Record{},
		changed:       make(chan struct{}),
		leases:        map[string]lease{},
		vms:           map[string]platform.VM{},
	}
}

// get returns the record of key as it was revisionsBack revisions ago, with revision 0 if the
// key did not exist or that revision is no longer kept.
func (s *store) get(key string, revisionsBack int) platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key, revisionsBack)
}

func (s *store) getLocked(key string, revisionsBack int) platform.Record {
	records := s.recordHistory[key]
	if revisionsBack >= len(records) {
		return platform.Record{Key: key}
	}
	return records[len(records)-1-revisionsBack]
}

// getAndSubscribe returns the record and a channel that is closed at the next write to any key
// or the next change of the injected faults.
func (s *store) getAndSubscribe(key string, revisionsBack int) (platform.Record, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key, revisionsBack), s.changed
}

// compareAndSwap writes value if the revision of key equals expectedRevision. It returns the
// current record and whether value was written.
func (s *store) compareAndSwap(key string, value []byte, expectedRevision uint64) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.getLocked(key, 0)
	if current.Revision != expectedRevision {
		return current, false
	}
	next := platform.Record{Key: key, Value: value, Revision: expectedRevision + 1}
	records := append(s.recordHistory[key], next)
	if len(records) > maxKeptRevisions {
		records = records[1:]
	}
	s.recordHistory[key] = records
	s.notifyWatchersLocked()
	return next, true
}

// notifyWatchersLocked wakes the pending watches.
func (s *store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// notifyWatchers wakes the pending watches so that they apply the new faults.
func (s *store) notifyWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchersLocked()
}

// acquireLease acquires or renews a lease and returns the lease of the current holder, which may
// be another one. The fencing token increases whenever an expired lease is acquired.
func (s *store) acquireLease(key, holder string, ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	current := s.leases[key]
	expired := !now.Before(current.expiresAt)
	if expired {
		current = lease{holder: holder, fencingToken: current.fencingToken + 1}
	}
	if current.holder == holder {
		current.expiresAt = now.Add(ttl)
		s.leases[key] = current
	}
	return platform.Lease{Key: key, Holder: current.holder, FencingToken: current.fencingToken, TTL: current.expiresAt.Sub(now)}
}

// putVM adds or replaces one entry of the VM list.
func (s *store) putVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.Name] = vm
	s.recordVMsLocked()
}

// removeVM removes one entry from the VM list.
func (s *store) removeVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
	s.recordVMsLocked()
}

// recordVMsLocked appends the current VM list, sorted by name, to the history.
func (s *store) recordVMsLocked() {
	vms := make([]platform.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	s.vmListHistory = append(s.vmListHistory, vmListVersion{validFrom: s.now(), vms: vms})
}

// listVMs returns the VM list as it was lag ago, or an empty list if there was none yet.
func (s *store) listVMs(lag time.Duration) []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.now().Add(-lag)
	for i := len(s.vmListHistory) - 1; i >= 0; i-- {
		if !s.vmListHistory[i].validFrom.After(asOf) {
			return s.vmListHistory[i].vms
		}
	}
	return []platform.VM{}
}
