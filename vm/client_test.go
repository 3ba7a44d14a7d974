package vm

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// serveList returns a client of a platform whose list has the given entries, and a function
// that returns the entries that it reported as malformed.
func serveList(t *testing.T, body string) (c *Client, malformed *[]string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	t.Cleanup(server.Close)
	malformed = new([]string)
	return &Client{URL: server.URL, OnMalformed: func(entry, cause string) { *malformed = append(*malformed, entry+cause) }}, malformed
}

const (
	firstEntry = `{"id":"a","role":"target","service":"s","address":"10.0.0.1:80","zone":"z","state":"live","slots":6}`
	lastEntry  = `{"id":"b]}\"","role":"target","service":"s","address":"[fe80::1]:80","zone":"{[","state":"leaving"}`
)

// One odd entry in the list of VMs made the whole list unreadable: nodes no longer followed it.
func TestOddEntryLeavesOthersInList(t *testing.T) {
	nested := func(n int) string { return strings.Repeat(`[{"a":`, n/2) + "1" + strings.Repeat("}]", n/2) }
	long := `"` + strings.Repeat("x", 1<<20) + `"`
	replace := func(field, value string) string {
		before, rest, _ := strings.Cut(firstEntry, field)
		return before + field + value + rest[strings.IndexAny(rest, ",}"):]
	}
	var odd []string
	for _, value := range []string{"-1", "0.5", "2147483648", "9223372036854775808", "1e400", `"80"`, "[]", "{}", long, nested(10), nested(1000), nested(100_000), `6,"slots":1e400`} {
		odd = append(odd, replace(`"slots":`, value))
	}
	for _, port := range []string{"-1", "0", "65536", "1e400", ""} {
		odd = append(odd, replace(`"address":`, `"10.0.0.1:`+port+`"`))
	}
	for _, value := range []string{`""`, "80", "null", "[]", nested(100_000), long, `"a\u0000"`, "\"a\xff\""} {
		odd = append(odd, replace(`"id":`, value))
	}
	odd = append(odd, "null", "80", `"text"`, "[]", nested(10), nested(100_000), "1e400", "nothing")
	for i, entry := range odd {
		name := fmt.Sprintf("%d %q", i, entry[:min(len(entry), 80)])
		c, malformed := serveList(t, ` {"other":[{}], "vms" : [`+firstEntry+`, `+entry+` ,`+lastEntry+`],"more":{"vms":[]}} `)
		for range 3 {
			start := time.Now()
			list, err := c.List(t.Context())
			if err != nil || len(list.VMs) != 2 || list.VMs[0].ID != "a" || list.VMs[1].ID != `b]}"` || list.VMs[0].Slots != 6 {
				t.Fatalf("%s: got %v and error %v, want the VMs a and b]}\"", name, list, err)
			}
			if got := time.Since(start); got > 5*time.Second {
				t.Errorf("%s: got %s to read, want at most 5s", name, got)
			}
		}
		if len(*malformed) != 1 || len((*malformed)[0]) > 1024 || (*malformed)[0] == "" {
			t.Errorf("%s: got %d reports, want a short one", name, len(*malformed))
		}
	}
}

// A list that breaks off, or is no list, must not be taken for one with fewer VMs.
func TestBrokenListIsAnError(t *testing.T) {
	whole := `{"vms":[` + firstEntry + `,` + lastEntry + `]}`
	for n := range whole {
		c, _ := serveList(t, whole[:n])
		if list, err := c.List(t.Context()); err == nil {
			t.Fatalf("broken off after %d bytes: got %v, want an error", n, list)
		}
	}
	for _, body := range []string{"null", "[]", `{"vms":{}}`, `{"vms":[` + firstEntry + `]`, `{"vms":[` + firstEntry + ` ` + lastEntry + `]}`, `{"vms":[,]}`, `{"vms" []}`, `{"vms":[]]}`} {
		c, _ := serveList(t, body)
		if list, err := c.List(t.Context()); err == nil {
			t.Errorf("%s: got %v, want an error", body, list)
		}
	}
	for _, body := range []string{whole, `{"vms":[]}`, `{"vms":null}`, `{}`} {
		c, _ := serveList(t, body)
		if _, err := c.List(t.Context()); err != nil {
			t.Errorf("%s: got error %v, want none", body, err)
		}
	}
}

// FuzzDecodeList checks that decoding ends and gives only valid VMs.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"vms":[` + firstEntry + `,` + lastEntry + `]}`))
	f.Add([]byte(`{"vms":[` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `]}`))
	f.Add([]byte(`{"vms":[{"id":"a","slots":1e400}]}`))
	f.Add([]byte(`{"a":"\"","vms":[{"id":"a","id":"\ud800"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, malformed, err := decodeList(body)
		if err != nil || len(malformed) > 0 {
			return
		}
		for _, v := range list.VMs {
			if v.ID == "" || v.Slots < 0 || v.Slots > maxSlots {
				t.Errorf("VM: got %+v, want an ID and 0 to %d slots", v, maxSlots)
			}
		}
	})
}
