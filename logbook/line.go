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
	At    time.Time `json:"ts"`
	Node  Node      `json:"node"`
	Event int       `json:"event"`
	Name  string    `json:"msg"`
	// ID is the request's, Target the target's and Zone the availability zone's
	// that the line is about; empty if it is about none.
	ID     string `json:"id"`
	Target string `json:"target"`
	Zone   string `json:"zone"`
	State  string `json:"state"`
	// Version is the plan's and Out says that a zone is out of service.
	Version int64 `json:"version"`
	Out     bool  `json:"out"`
	// Text is the line as it was written.
	Text string `json:"-"`
}

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Tally counts what a reading came across.
type Tally struct {
	Lines, Bytes int64
	// Broken is how many lines could not be read, and FirstBroken the number of
	// the first, from 1.
	Broken      int64
	FirstBroken int64
}

// Read hands each line of r to take, in order. Whatever stands before the first
// brace of a line is passed over, as some collectors add a time and a name.
func Read(r io.Reader, take func(Line)) (t Tally, err error) {
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
				take(line)
			case t.Broken == 0:
				t.FirstBroken = t.Lines
				t.Broken++
			default:
				t.Broken++
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
	if err := json.Unmarshal(text[start:], &l); err != nil || l.At.IsZero() || l.Name == "" {
		return Line{}, false
	}
	l.Text = string(text[start:])
	return l, true
}
