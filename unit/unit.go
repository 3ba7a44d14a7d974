package unit

import (
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/fault"
)

// Bytes is a size in bytes.
type Bytes int64

// Units of size.
const (
	Byte     Bytes = 1
	Kibibyte       = 1024 * Byte
	Mebibyte       = 1024 * Kibibyte
)

// Parser parses values of a document and collects a fault for each invalid one.
// Its zero value is ready to use.
type Parser struct {
	// Faults holds the faults found so far.
	Faults fault.List
}

// Duration parses a duration with a unit, such as "250ms". It returns
// defaultValue if text is empty, and also after adding a fault if text is
// malformed, has no unit or is negative.
func (p *Parser) Duration(field, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		p.Faults.Add(field, "%q has no unit; write for example %q", text, text+"ms")
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		p.Faults.Add(field, "%q is not a duration such as \"250ms\" or \"2s\"", text)
		return defaultValue
	}
	if d < 0 {
		p.Faults.Add(field, "%q is negative", text)
		return defaultValue
	}
	return d
}

// CheckDuration adds a fault if the duration lies outside [low, high].
func (p *Parser) CheckDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		p.Faults.Add(field, "%s lies outside %s to %s", value, low, high)
	}
}

// CheckInt adds a fault if the integer lies outside [low, high].
func (p *Parser) CheckInt(field string, value, low, high int) {
	if value < low || value > high {
		p.Faults.Add(field, "%d lies outside %d to %d", value, low, high)
	}
}

// Format returns a duration as text that Parser.Duration parses, or "" for zero.
func Format(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
