package unit

import (
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/fault"
)

// Bytes is an amount of data in bytes.
type Bytes int64

// Common amounts of data, in bytes.
const (
	Byte     Bytes = 1
	Kibibyte       = 1024 * Byte
	Mebibyte       = 1024 * Kibibyte
)

// Reader parses written values and collects a fault for each bad one.
type Parser struct {
	// Faults holds what was found so far.
	Faults fault.List
}

// Duration parses a duration with its unit, such as "250ms"; empty text gives
// the default. Negative values are faults.
func (r *Parser) Duration(field, text string, def time.Duration) time.Duration {
	if text == "" {
		return def
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		r.Faults.Add(field, "%q has no unit; write for example %q", text, text+"ms")
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.Faults.Add(field, "%q is not a duration such as \"250ms\" or \"2s\"", text)
		return def
	}
	if d < 0 {
		r.Faults.Add(field, "%q is negative", text)
		return def
	}
	return d
}

// Within adds a fault if the value lies outside [low, high].
func (r *Parser) CheckDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		r.Faults.Add(field, "%s lies outside %s to %s", value, low, high)
	}
}

// IntWithin adds a fault if the value lies outside [low, high].
func (r *Parser) CheckInt(field string, value, low, high int) {
	if value < low || value > high {
		r.Faults.Add(field, "%d lies outside %d to %d", value, low, high)
	}
}

// Format returns a duration as text that Duration reads, or "" for zero.
func Format(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
