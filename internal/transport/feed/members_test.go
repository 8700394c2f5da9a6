package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a balancer that has read its first data in a short time of answers, but does
// not know the balancers of its place until the platform answers again: the limit of requests in
// progress of each balancer depends on their number.
func TestMembersAreReadAfterFirstData(t *testing.T) {
	for name, fails := range map[string]bool{"failed read": true, "hanging read": false} {
		directory := &memoryDirectory{}
		var reads atomic.Int64
		directory.beforeMembers = func(ctx context.Context) error {
			if reads.Add(1) > 1 {
				return nil
			}
			if fails {
				return errors.New("no answer")
			}
			<-ctx.Done()
			return ctx.Err()
		}
		n := startNode(t, "vm-1", directory)
		waitFor(t, "the first read", func() bool { return reads.Load() == 1 })
		time.Sleep(100 * time.Millisecond)
		n.applyPlatformState(3, 10, "i-1")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, reads.Load(), int64(2), "%s: reads of the member list within half a second of the first data", name)
	}
}
