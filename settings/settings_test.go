package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/fault"
)

const minimal = "node: {vm: entry-1, zone: howrah}\n"

func TestParse(t *testing.T) {
	tests := []struct {
		name, text, fields string
	}{
		{"minimal", minimal, ""},
		{"who and where", "{}", "node.vm node.zone"},
		{"all faults at once", "node: {vm: x}\nnoed: 1\nlisten: {callers: here}\nstop: {grace: 5, limit: -1s}\nlog: {level: loud}",
			"noed stop.grace stop.limit node.zone listen.callers log.level"},
		{"token needed", minimal + "listen: {operators: \"10.0.0.1:8081\", peers: \"10.0.0.1:8082\"}", "tokens.operators tokens.peers"},
		{"token given", minimal + "listen: {operators: \"10.0.0.1:8081\"}\ntokens: {operators: secret}", ""},
		{"a name is no IP number", minimal + "listen: {callers: \"localhost:8080\"}", "listen.callers"},
		{"one port twice", minimal + "listen: {peers: \"127.0.0.1:8080\"}", "listen.peers"},
		{"platform", minimal + "platform: {log: nowhere, list-every: 1h}", "platform.log platform.list-every"},
		{"budget", minimal + "measuring: {messages-per-second: 0}", "measuring.messages-per-second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			var fields []string
			for _, f := range fault.FromError(err) {
				fields = append(fields, f.Field)
			}
			if got := strings.Join(fields, " "); got != tt.fields {
				t.Errorf("fields: got %q, want %q\n%v", got, tt.fields, err)
			}
		})
	}
}

// TestDefaultsAreSound parses what --print-defaults prints.
func TestDefaultsAreSound(t *testing.T) {
	text, err := DefaultsYAML()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.StopGrace, 5*time.Second; got != want {
		t.Errorf("stop.grace: got %s, want %s", got, want)
	}
}
