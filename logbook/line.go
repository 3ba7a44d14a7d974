package logbook

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Node is the name of the node that wrote a line.
type Node string

// Line is one log line.
type Line struct {
	Time        time.Time `json:"ts"`
	Node        Node      `json:"node"`
	EventNumber int       `json:"event"`
	EventName   string    `json:"msg"`
	// ID is the request's, Target the target's and Zone the availability zone's
	// that the line is about; empty if it is about none.
	RequestID string `json:"id"`
	Target    string `json:"target"`
	Zone      string `json:"zone"`
	State     string `json:"state"`
	// Version is the plan's and Out says that a zone is out of service.
	PlanVersion      int64 `json:"version"`
	ZoneOutOfService bool  `json:"out"`
	// Text is the line as it was written.
	JSON string `json:"-"`
}

// maxLine bounds a line; longer ones are passed over.
const maxLine = 1 << 20

// Tally counts what a reading came across.
type ReadStats struct {
	Lines, Bytes int64
	// Broken is how many lines could not be read, and FirstBroken the number of
	// the first, from 1.
	MalformedLines     int64
	FirstMalformedLine int64
}

// Read hands each line of r to take, in order. Whatever stands before the first
// brace of a line is passed over, as some collectors add a time and a name.
func Read(r io.Reader, take func(Line)) (t ReadStats, err error) {
	defer func() { err = eris.Wrap(err, "read log lines") }()
	b := bufio.NewReaderSize(r, maxLine)
	for {
		text, tooLong, err := readLine(b)
		if len(text) > 0 || tooLong {
			t.Lines++
			t.Bytes += int64(len(text)) + 1
			line, ok := parse(text)
			switch {
			case ok && !tooLong:
				take(line)
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

// readLine returns the next line without its end; of one that is too long it
// returns the beginning and passes over the rest.
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
