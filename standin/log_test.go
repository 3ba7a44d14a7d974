package standin

import (
	"net/http/httptest"
	"testing"

	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/stream/streamtest"
	"github.com/apricotmount/apricotmount/vm"
)

// TestLog runs the conformance tests of stream.Log.
func TestLog(t *testing.T) {
	streamtest.TestLog(t, func(*testing.T) stream.Log { return &Log{} })
}

// TestLogOverHTTP runs the conformance tests through stream.Client and a server.
func TestLogOverHTTP(t *testing.T) {
	streamtest.TestLog(t, func(t *testing.T) stream.Log {
		p := &Platform{Log: &Log{}, List: &List{}}
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		return &stream.Client{URL: server.URL}
	})
}

// An append whose acknowledgement is lost closes the HTTP connection. The HTTP
// client must not retry it, which would append the record twice.
func TestAppendWithLostAckIsNotRetried(t *testing.T) {
	p := &Platform{Log: &Log{}, List: &List{}}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := &stream.Client{URL: server.URL}
	if _, err := client.Append(t.Context(), "s", []byte("first")); err != nil {
		t.Fatal(err)
	}
	p.Log.LoseAcks(1)
	if _, err := client.Append(t.Context(), "s", []byte("second")); err == nil {
		t.Error("error of an append without acknowledgement: got none")
	}
	if got, want := p.Log.AppendCount(), 2; got != want {
		t.Errorf("appends: got %d, want %d", got, want)
	}
}

// The second read of an unchanged list gets a 304 response without a body; the
// client must return the VMs of the first read. A changed list must be read anew.
func TestListClientReadsUnchangedAndChangedList(t *testing.T) {
	p := &Platform{Log: &Log{}, List: &List{}}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := &vm.Client{URL: server.URL}
	p.List.Put(vm.VM{ID: "a", Role: vm.RoleTarget, State: vm.StateLive})
	for range 2 {
		list, err := client.List(t.Context())
		if err != nil || len(list.VMs) != 1 {
			t.Errorf("list: got %v %v, want one VM", list, err)
		}
	}
	p.List.Put(vm.VM{ID: "b", Role: vm.RoleTarget, State: vm.StateLive})
	list, err := client.List(t.Context())
	if err != nil || len(list.VMs) != 2 {
		t.Errorf("list after a change: got %v %v, want two VMs", list, err)
	}
	p.List.SetDown(true)
	if _, err := client.List(t.Context()); err == nil {
		t.Error("error while the list is unavailable: got none")
	}
}
