package quarantine

import (
	"slices"
	"time"
)

// A node whose path to the targets breaks takes their processes for ended: connections break
// and new ones are refused. Other nodes still get responses from these processes.

const (
	// refuteAfter and refuteBefore bound the time from a supposed end to the start of an
	// exchange whose response refutes it: late enough that the process would have ended, and
	// before another one can have started under its ID.
	refuteAfter  = 50 * time.Millisecond
	refuteBefore = time.Second
)

// RecordAlive records that a process responded to a request that was sent at the given time.
// If the process was taken for ended before, it reports true, and the other nodes
// need that.
func (l *Ledger) RecordAlive(p Process, sentAt time.Time) (isNews bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.cases {
		for _, e := range c.Ends {
			elapsed := sentAt.Sub(e.At)
			isNews = isNews || e.Process == p && elapsed >= refuteAfter && elapsed <= refuteBefore
		}
	}
	if isNews {
		l.refute(p, sentAt)
	}
	return isNews
}

// Refute drops the ends of processes that other nodes found alive, and returns those for
// which this is new.
func (l *Ledger) Refute(processes []Process, now time.Time) (news []Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range processes {
		if _, known := l.refuted[p]; known {
			continue
		}
		l.refute(p, now)
		news = append(news, p)
	}
	return news
}

// maxRefuted bounds the processes whose ends are known to be false.
const maxRefuted = 4096

// refute drops the ends of a process. l.mu must be held.
func (l *Ledger) refute(p Process, now time.Time) {
	if l.refuted == nil || len(l.refuted) >= maxRefuted {
		l.refuted = map[Process]time.Time{}
	}
	l.refuted[p] = now
	for _, c := range l.cases {
		c.Ends = slices.DeleteFunc(c.Ends, func(e End) bool { return e.Process == p })
	}
}
