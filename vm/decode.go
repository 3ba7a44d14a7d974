package vm

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

const (
	// maxSlots is the maximum number of slots of a listed VM, and maxIDBytes the maximum
	// length of its ID.
	maxSlots   = 1 << 16
	maxIDBytes = 255
	// maxReportBytes is how much of a malformed entry, and of the cause, is reported.
	maxReportBytes = 200
)

// malformedEntry is the beginning of an entry of the list that names no VM, and why.
type malformedEntry struct {
	text, cause string
}

// decodeList decodes the platform's list, the array "vms" of a JSON object. A malformed entry
// is left out: the entries are separated before any is decoded, whatever they hold.
func decodeList(body []byte) (list List, malformed []malformedEntry, err error) {
	entries, err := splitList(body)
	if err != nil {
		return List{}, nil, err
	}
	for _, entry := range entries {
		v, err := decodeEntry(entry)
		if err != nil {
			malformed = append(malformed, malformedEntry{text: shorten(string(entry)), cause: shorten(err.Error())})
			continue
		}
		list.VMs = append(list.VMs, v)
	}
	return list, malformed, nil
}

// shorten returns the beginning of a text for a report.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxReportBytes)], "\ufffd")
}

// decodeEntry decodes and validates one entry.
func decodeEntry(entry []byte) (v VM, err error) {
	if !utf8.Valid(entry) {
		return VM{}, eris.New("is not valid UTF-8")
	}
	if err := json.Unmarshal(entry, &v); err != nil {
		return VM{}, err
	}
	if v.ID == "" || len(v.ID) > maxIDBytes || strings.ContainsFunc(string(v.ID), unicode.IsControl) {
		return VM{}, eris.Errorf("id: is not a text of 1 to %d bytes", maxIDBytes)
	}
	if v.Slots < 0 || v.Slots > maxSlots {
		return VM{}, eris.Errorf("slots: %d is not between 0 and %d", v.Slots, maxSlots)
	}
	if a, err := netip.ParseAddrPort(string(v.Address)); v.Address != "" && (err != nil || a.Port() == 0) {
		return VM{}, eris.New("address: is not an IP address and port")
	}
	return v, nil
}

// errNotList is the error for a text that is not an object with a list.
var errNotList = eris.New("the text is no JSON object with a list of VMs, or breaks off")

// splitList returns the entries of the array "vms" of a JSON object. It does not check what is
// inside of them.
func splitList(body []byte) (entries [][]byte, err error) {
	fields, _, ok := splitValue(body, '{', '}')
	if !ok {
		return nil, errNotList
	}
	for _, field := range fields {
		key, ok := skipValue(field, 0)
		if !ok || string(field[:key]) != `"vms"` {
			continue
		}
		value := bytes.TrimSpace(field[key:])
		if len(value) == 0 || value[0] != ':' {
			return nil, errNotList
		}
		value = bytes.TrimSpace(value[1:])
		if string(value) == "null" {
			continue
		}
		var rest []byte
		if entries, rest, ok = splitValue(value, '[', ']'); !ok || len(rest) > 0 {
			return nil, errNotList
		}
	}
	return entries, nil
}

// splitValue returns the parts of a JSON array or object between its commas, and the text after
// it; ok is false if it does not begin with open or breaks off.
func splitValue(text []byte, open, closing byte) (parts [][]byte, rest []byte, ok bool) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || text[0] != open {
		return nil, nil, false
	}
	start, i := 1, 1
	for i < len(text) {
		switch c := text[i]; {
		case c == ',' || c == closing:
			part := bytes.TrimSpace(text[start:i])
			isEmpty := len(part) == 0 && len(parts) == 0 && c == closing
			if len(part) == 0 && !isEmpty {
				return nil, nil, false
			}
			if !isEmpty {
				parts = append(parts, part)
			}
			if c == closing {
				return parts, text[i+1:], true
			}
			i++
			start = i
		case c == '"' || c == '[' || c == '{':
			if open == '[' && len(bytes.TrimSpace(text[start:i])) > 0 {
				// A comma is missing.
				return nil, nil, false
			}
			if i, ok = skipValue(text, i); !ok {
				return nil, nil, false
			}
		case c == ']' || c == '}':
			return nil, nil, false
		default:
			i++
		}
	}
	return nil, nil, false
}

// skipValue returns the end of the string, array or object that begins at an index; ok is false
// if there is none or it breaks off. The depth of the nesting does not matter.
func skipValue(text []byte, i int) (end int, ok bool) {
	depth, inString := 0, false
	for ; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		if !inString && depth <= 0 {
			return i + 1, depth == 0
		}
	}
	return 0, false
}
