// Package journal keeps a bounded log of recent events for status output.
package journal

import (
	"fmt"
	"time"
)

// maxEvents limits the events of one log. Changes of members and configuration
// are rare: 64 events cover about an hour of an incident.
const maxEvents = 64

// Log is a bounded list of events, oldest first. The zero value is empty. It is
// not safe for concurrent use.
type Log struct{ lines []string }

// Add appends a formatted event and drops the oldest one if the log is full.
func (l *Log) Add(now time.Time, format string, args ...any) {
	if len(l.lines) == maxEvents {
		l.lines = append(l.lines[:0], l.lines[1:]...)
	}
	l.lines = append(l.lines, now.UTC().Format(time.RFC3339)+" "+fmt.Sprintf(format, args...))
}

// Lines returns a copy of the events, each prefixed with its time in UTC.
func (l *Log) Lines() []string { return append([]string(nil), l.lines...) }
