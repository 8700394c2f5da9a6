// Package platform is a stand-in for the platform: the key-value service and the
// VM list over HTTP and JSON, with switches for the failures that tests need.
package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// keptRevisions is the number of old values per key that stale reads can return.
const keptRevisions = 8

// lease is one claim with its end.
type lease struct {
	holder string
	fence  uint64
	ends   time.Time
}

// vmsAt is the VM list from one moment on.
type vmsAt struct {
	since time.Time
	vms   []platform.VM
}

// store is the state of the platform.
type store struct {
	now func() time.Time

	mu      sync.Mutex
	records map[string][]platform.Record
	changed chan struct{}
	leases  map[string]lease
	vms     map[string]platform.VM
	history []vmsAt
}

func newStore(now func() time.Time) *store {
	return &store{
		now:     now,
		records: map[string][]platform.Record{},
		changed: make(chan struct{}),
		leases:  map[string]lease{},
		vms:     map[string]platform.VM{},
	}
}

// get returns the record of key as it was back revisions ago.
func (s *store) get(key string, back int) platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key, back)
}

func (s *store) getLocked(key string, back int) platform.Record {
	records := s.records[key]
	if back >= len(records) {
		return platform.Record{Key: key}
	}
	return records[len(records)-1-back]
}

// getOrWait returns the record and a channel that closes at the next write to any key.
func (s *store) getOrWait(key string, back int) (platform.Record, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key, back), s.changed
}

// compareAndSwap writes value when the revision of key equals expect.
func (s *store) compareAndSwap(key string, value []byte, expect uint64) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.getLocked(key, 0)
	if current.Revision != expect {
		return current, false
	}
	next := platform.Record{Key: key, Value: value, Revision: expect + 1}
	records := append(s.records[key], next)
	if len(records) > keptRevisions {
		records = records[1:]
	}
	s.records[key] = records
	s.notifyLocked()
	return next, true
}

// notifyLocked wakes the pending watches.
func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wake makes the pending watches look at the switches again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

// acquire takes or renews a lease. The fence grows with each new holder.
func (s *store) acquire(key, holder string, ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	current := s.leases[key]
	expired := !now.Before(current.ends)
	if expired {
		current = lease{holder: holder, fence: current.fence + 1}
	}
	if current.holder == holder {
		current.ends = now.Add(ttl)
		s.leases[key] = current
	}
	return platform.Lease{Key: key, Holder: current.holder, FencingToken: current.fence, TTL: current.ends.Sub(now)}
}

// putVM adds or replaces one entry of the VM list.
func (s *store) putVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.Name] = vm
	s.recordVMsLocked()
}

// removeVM takes one entry from the VM list.
func (s *store) removeVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
	s.recordVMsLocked()
}

func (s *store) recordVMsLocked() {
	vms := make([]platform.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	s.history = append(s.history, vmsAt{since: s.now(), vms: vms})
}

// listVMs returns the VM list as it was lag ago.
func (s *store) listVMs(lag time.Duration) []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.now().Add(-lag)
	for i := len(s.history) - 1; i >= 0; i-- {
		if !s.history[i].since.After(at) {
			return s.history[i].vms
		}
	}
	return []platform.VM{}
}
