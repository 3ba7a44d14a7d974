package logbook

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// timeResolution is the resolution of printed durations.
const timeResolution = time.Millisecond

// commonFields holds the fields that every line has or that are printed separately.
var commonFields = map[string]bool{"level": true, "ts": true, "msg": true, "event": true, "node": true, "id": true}

// formatFields returns the remaining non-empty fields of a line as name=value,
// sorted by name.
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
