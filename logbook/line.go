package logbook

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Node is the name of an entry node.
type Node string

// Line is one decoded log line.
type Line struct {
	Time        time.Time `json:"ts"`
	Node        Node      `json:"node"`
	EventNumber int       `json:"event"`
	EventName   string    `json:"msg"`
	// RequestID identifies the request, Target the target and Zone the availability
	// zone that the line refers to. Each is empty if the line refers to none.
	RequestID string `json:"id"`
	Target    string `json:"target"`
	Zone      string `json:"zone"`
	// State is the new state of the target in a line of the event target-listed.
	State string `json:"state"`
	// RateLimit is the limit in a line of the event target-limited, in requests a second.
	RateLimit float64 `json:"limit"`
	// PlanVersion is the version of the plan. ZoneOutOfService states that Zone is
	// out of service.
	PlanVersion int64 `json:"version"`
	// Source is where the node had a plan from, the store or a peer, and Topic the part of
	// the store that a line refers to; empty for all of it.
	Source           string `json:"source"`
	Topic            string `json:"topic"`
	ZoneOutOfService bool   `json:"out"`
	// Service is the service of a call; Reason is why a call was not done and Status the
	// status of its response.
	Service string `json:"service"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	// TookMillis is the duration of a call that has ended, SinceMillis the time since its
	// arrival at a decision and LimitMillis the longest forecast with which it could be sent
	// then, each in milliseconds. IsLate states that it could no longer meet its objective.
	TookMillis  int64   `json:"took-ms"`
	SinceMillis int64   `json:"since-ms"`
	LimitMillis float64 `json:"limit-ms"`
	IsLate      bool    `json:"late"`
	// Result is how an attempt failed, and IsWritten states whether a byte of it may have
	// reached the target. Via is the node that a call was sent through, and ExtraLeft the
	// number of extra attempts that it could still make.
	Result    string `json:"result"`
	IsWritten bool   `json:"written"`
	Via       string `json:"via"`
	ExtraLeft int    `json:"extra-left"`
	// JSON is the JSON text of the line, without what precedes the first brace.
	JSON string `json:"-"`
}

// maxLineBytes is the maximum length of a line. Longer lines are skipped.
const maxLineBytes = 1 << 20

// ReadStats holds the counts of one Read. Empty lines are not counted.
type ReadStats struct {
	// Bytes counts a line without its surrounding white space and with one line
	// end, and a too long line only up to maxLineBytes.
	Lines, Bytes int64
	// MalformedLines is the number of malformed or too long lines.
	// FirstMalformedLine is the number of the first one among the lines that are
	// not empty, starting at 1.
	MalformedLines     int64
	FirstMalformedLine int64
}

// Read decodes the lines of r and calls handle for each, in order. It ignores text
// before the first brace of a line, because some log collectors prepend a time and
// a name. It skips and counts malformed lines; an error means that reading r
// failed.
func Read(r io.Reader, handle func(Line)) (stats ReadStats, err error) {
	defer func() { err = eris.Wrap(err, "read log lines") }()
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, tooLong, err := readLine(b)
		if len(text) > 0 || tooLong {
			stats.Lines++
			stats.Bytes += int64(len(text)) + 1
			line, ok := parse(text)
			switch {
			case ok && !tooLong:
				handle(line)
			case stats.MalformedLines == 0:
				stats.FirstMalformedLine = stats.Lines
				stats.MalformedLines++
			default:
				stats.MalformedLines++
			}
		}
		if err == io.EOF {
			return stats, nil
		}
		if err != nil {
			return stats, err
		}
	}
}

// readLine returns the next line without surrounding white space. If the line is
// too long, it returns the beginning and skips the rest.
func readLine(b *bufio.Reader) (text []byte, tooLong bool, err error) {
	text, err = b.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return bytes.TrimSpace(text), false, err
	}
	text = bytes.Clone(text)
	for err == bufio.ErrBufferFull {
		_, err = b.ReadSlice('\n')
	}
	return text, true, err
}

func parse(text []byte) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Time.IsZero() || l.EventName == "" {
		return Line{}, false
	}
	l.JSON = string(text[start:])
	return l, true
}
