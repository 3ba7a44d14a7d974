package logbook

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a trace from which it cannot be seen at how many targets a forwarded call may
// have run, and at which nodes.
func TestRequestTraceCountsTargetsOverNodes(t *testing.T) {
	const lines = `{"ts":"2026-09-27T16:56:01.0Z","msg":"call-placed","event":703,"node":"n1","id":"q","target":"i-1"}
{"ts":"2026-09-27T16:56:01.1Z","msg":"call-failed","event":706,"node":"n1","id":"q","target":"i-1","result":"connect-failed"}
{"ts":"2026-09-27T16:56:01.2Z","msg":"call-placed","event":703,"node":"n1","id":"q","target":"i-2"}
{"ts":"2026-09-27T16:56:01.3Z","msg":"call-failed","event":706,"node":"n1","id":"q","target":"i-2","result":"cancelled","written":true}
{"ts":"2026-09-27T16:56:01.4Z","msg":"call-forwarded","event":708,"node":"n1","id":"q","via":"n2","extra-left":1}
{"ts":"2026-09-27T16:56:01.5Z","msg":"call-placed","event":703,"node":"n2","id":"q","target":"i-3"}
{"ts":"2026-09-27T16:56:01.6Z","msg":"call-failed","event":706,"node":"n2","id":"q","target":"i-3","result":"refused","written":true}
{"ts":"2026-09-27T16:56:01.7Z","msg":"call-placed","event":703,"node":"n2","id":"q","target":"i-4"}
`
	trace := RequestTrace{ID: "q"}
	if _, err := Read(strings.NewReader(lines), trace.Add); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := trace.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	const want = "targets that may have run it: 2: i-2 from n1, i-4 from n2; through other nodes: n1 via n2 (extra-left=1)\n"
	if got := b.String(); !strings.HasSuffix(got, want) {
		t.Errorf("end of the trace: got %q, want %q", got, want)
	}
}
