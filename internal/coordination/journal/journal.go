// Package journal keeps the recent changes that operators ask about.
package journal

import (
	"fmt"
	"time"
)

// kept bounds the events of one log. Changes of members and configuration are
// rare; 64 cover an hour of a bad night.
const maxEvents = 64

// Log is a bounded list of events, oldest first. The zero value is empty. It is
// not safe for concurrent use.
type Log struct{ lines []string }

// Add notes an event.
func (l *Log) Add(now time.Time, format string, args ...any) {
	if len(l.lines) == maxEvents {
		l.lines = append(l.lines[:0], l.lines[1:]...)
	}
	l.lines = append(l.lines, now.UTC().Format(time.RFC3339)+" "+fmt.Sprintf(format, args...))
}

// Lines returns the events with their times.
func (l *Log) Lines() []string { return append([]string(nil), l.lines...) }
