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
	// ID identifies the request, Target the target and Zone the availability
	// zone that the line refers to. Each is empty if the line refers to none.
	RequestID string `json:"id"`
	Target    string `json:"target"`
	Zone      string `json:"zone"`
	State     string `json:"state"`
	// Version is the version of the plan. Out states that the zone is out of
	// service.
	PlanVersion      int64 `json:"version"`
	ZoneOutOfService bool  `json:"out"`
	// Text is the JSON text of the line.
	JSON string `json:"-"`
}

// maxLineBytes is the maximum length of a line. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Tally holds the counts of one Read.
type ReadStats struct {
	Lines, Bytes int64
	// Broken is the number of malformed or too long lines. FirstBroken is the
	// line number of the first one, starting at 1.
	MalformedLines     int64
	FirstMalformedLine int64
}

// Read decodes the lines of r and calls handle for each, in order. It ignores text
// before the first brace of a line, because some log collectors prepend a time and
// a name. It skips and counts malformed lines; an error means that reading r
// failed.
func Read(r io.Reader, handle func(Line)) (t ReadStats, err error) {
	defer func() { err = eris.Wrap(err, "read log lines") }()
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, tooLong, err := readLine(b)
		if len(text) > 0 || tooLong {
			t.Lines++
			t.Bytes += int64(len(text)) + 1
			line, ok := parse(text)
			switch {
			case ok && !tooLong:
				handle(line)
			case t.MalformedLines == 0:
				t.FirstMalformedLine = t.Lines
				t.MalformedLines++
			default:
				t.MalformedLines++
			}
		}
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return t, err
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
