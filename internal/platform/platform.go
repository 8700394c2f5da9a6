// Package platform is an HTTP client of the platform's key-value service, which provides
// compare-and-swap, leases and watches, and of its VM list.
package platform

import (
	"context"
	"net/netip"
	"time"
)

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// Record is one key with its value. Revision 0 means that the key does not exist.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// WriteOutcome states whether a write took effect, as far as the caller knows.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// WriteUnknown: the request was sent, but its outcome is not known; the write may have
	// taken effect.
	WriteUnknown WriteOutcome = iota
	// WriteDone: the write took effect.
	WriteDone
	// WriteConflict: the expected revision did not match; nothing was written.
	WriteConflict
	// WriteFailed: the write did not take effect, because it was rejected or not sent.
	WriteFailed
)

// VM is one entry of the platform's VM list. The list lags behind the actual state.
type VM struct {
	Name           string         `json:"name"`
	Place          string         `json:"place"`
	DataAddress    netip.AddrPort `json:"data"`
	ControlAddress netip.AddrPort `json:"control"`
	Leaving        bool           `json:"leaving"`
}

// Lease is time-limited ownership of a key. FencingToken increases whenever the key gets a
// new holder.
type Lease struct {
	Key          string        `json:"key"`
	Holder       string        `json:"holder"`
	FencingToken uint64        `json:"fence"`
	TTL          time.Duration `json:"ttl_ns"`
}

// Store is the interface of the key-value service and the VM list for balancers and operator
// commands. A non-nil error means that a call failed.
type Store interface {
	// Get returns the record of a key, with revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes value if the current revision equals expectedRevision, where 0
	// means that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (WriteOutcome, Record, error)
	// Watch waits until the revision of key exceeds afterRevision or ctx is done.
	Watch(ctx context.Context, key string, afterRevision uint64) (Record, error)
	// VMs returns the VM list.
	VMs(ctx context.Context) ([]VM, error)
	// AcquireLease acquires or renews a lease. It returns the lease of the current holder,
	// which may be another one.
	AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
}
