package standin

import (
	"net/http/httptest"
	"testing"

	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/stream/streamtest"
	"github.com/apricotmount/apricotmount/vm"
)

func TestLog(t *testing.T) {
	streamtest.TestLog(t, func(*testing.T) stream.Log { return &Log{} })
}

// TestLogOverHTTP runs the same tests through client and server.
func TestLogOverHTTP(t *testing.T) {
	streamtest.TestLog(t, func(t *testing.T) stream.Log {
		p := &Platform{Log: &Log{}, List: &List{}}
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		return &stream.Client{URL: server.URL}
	})
}

// TestAppendIsNotSentAgain loses an acknowledgement over HTTP; the library must
// not append a second time.
func TestAppendIsNotSentAgain(t *testing.T) {
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

// TestListIsSentOnce reads an unchanged list twice.
func TestListIsSentOnce(t *testing.T) {
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
		t.Error("error while the list is away: got none")
	}
}
