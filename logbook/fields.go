package logbook

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const timeResolution = time.Millisecond

// commonFields are the fields that every line has and a reader has seen already.
var commonFields = map[string]bool{"level": true, "ts": true, "msg": true, "event": true, "node": true, "id": true}

// formatFields writes a line's own formatFields as name=value, in order.
func formatFields(text string) string {
	var m map[string]any
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return text
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if commonFields[k] || m[k] == "" {
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", k, m[k]))
	}
	return strings.Join(out, " ")
}
