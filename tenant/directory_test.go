package tenant

import (
	"fmt"
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/fault"
)

func newLargeDirectory(tb testing.TB, count int) *Directory {
	tb.Helper()
	configs := make([]Config, count)
	for i := range configs {
		configs[i] = Config{Tenant: Tenant{Name: Name(fmt.Sprint("tenant-", i))}, Keys: []string{fmt.Sprint("key-of-tenant-", i)}}
	}
	var faults fault.List
	d := NewDirectory(configs, &faults)
	if err := faults.Err(); err != nil {
		tb.Fatal(err)
	}
	return d
}

// Guards against calls of unknown, absent or several keys.
func TestOnlyOneKnownKeyFindsTenant(t *testing.T) {
	d := newLargeDirectory(t, 100)
	for _, test := range []struct {
		keys []string
		want Name
	}{
		{[]string{"key-of-tenant-7"}, "tenant-7"},
		{[]string{"key-of-tenant-100"}, ""},
		{[]string{""}, ""},
		{nil, ""},
		{[]string{"key-of-tenant-7", "key-of-tenant-7"}, ""},
		{[]string{"key-of-tenant-7 "}, ""},
		{[]string{strings.Repeat("k", maxKeyBytes+1)}, ""},
	} {
		found, err := d.FindOne(test.keys)
		if err != nil && test.want != "" || err == nil && found.Name != test.want {
			t.Errorf("tenant of %d keys: got %v, %v, want %q", len(test.keys), found, err, test.want)
		}
	}
}

// Guards against two tenants with one key, and against a fault that shows the key.
func TestSharedKeyIsRefusedWithoutItsText(t *testing.T) {
	var faults fault.List
	NewDirectory([]Config{
		{Tenant: Tenant{Name: "one"}, Keys: []string{"secret-1", ""}},
		{Tenant: Tenant{Name: "two"}, Keys: []string{"secret-2", "secret-1"}},
		{Tenant: Tenant{Name: "two"}, Keys: nil},
	}, &faults)
	text := fmt.Sprint(faults.Err())
	for _, want := range []string{"tenants[1].apiKeys[1]", "tenants[0].apiKeys[1]", "tenants[2].name"} {
		if !strings.Contains(text, want) {
			t.Errorf("faults: got %q, want one for %s", text, want)
		}
	}
	if strings.Contains(text, "secret") {
		t.Errorf("faults: got %q, want none that shows a key", text)
	}
}

func BenchmarkFind(b *testing.B) {
	d := newLargeDirectory(b, 10_000)
	for _, key := range []string{"key-of-tenant-77", "key-of-nobody-77"} {
		b.Run(key, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Find(key)
			}
		})
	}
}
