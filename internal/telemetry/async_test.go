package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that blocks because nobody reads its log stream.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	a := NewAsyncWriter(writer)
	for i := range asyncQueueLines + asyncBurstLines + 100 {
		fmt.Fprintf(a, "line %d\n", i)
	}
	assert.Assert(t, a.Dropped() > 0)
	assert.NilError(t, a.Close())
	reader.Close()
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against lines that are lost when the writer is closed, or reordered.
func TestAsyncWriterKeepsLinesInOrder(t *testing.T) {
	var out lockedBuffer
	a := NewAsyncWriter(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := a.Write([]byte(line))
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Close())
	<-a.done
	assert.Equal(t, out.String(), want)
	assert.Equal(t, a.Dropped(), int64(0))
}

// Guards against a panic at process exit, when goroutines still log while or after
// the writer is closed.
func TestAsyncWriterAcceptsLinesAfterClose(t *testing.T) {
	var out lockedBuffer
	a := NewAsyncWriter(&out)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 100 {
				fmt.Fprintln(a, "line")
			}
		})
	}
	assert.NilError(t, a.Close())
	group.Wait()
	fmt.Fprintln(a, "late line")
	assert.NilError(t, a.Close())
}
