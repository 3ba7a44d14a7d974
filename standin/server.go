package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// maxRecordBytes is the maximum length of a record's payload.
const maxRecordBytes = 16 << 20

// Platform serves the log and the list of VMs over HTTP, in the protocol of
// stream.Client and vm.Client.
type Platform struct {
	Log  *Log
	List *List
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", p.append)
	mux.HandleFunc("GET /streams/{name}", p.read)
	mux.HandleFunc("GET /vms", p.list)
	return mux
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil {
		return
	}
	o, err := p.Log.Append(r.Context(), stream.Name(r.PathValue("name")), payload)
	if errors.Is(err, ErrLostAck) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]stream.Offset{"offset": o})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(q.Get("max"))
	wait, errWait := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := p.Log.Read(r.Context(), stream.Name(r.PathValue("name")), stream.Offset(from), limit, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, b)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.List.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	etag := etagOf(list)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func etagOf(list vm.List) string {
	h := fnv.New64a()
	for _, v := range list.VMs {
		fmt.Fprintln(h, v)
	}
	return fmt.Sprintf("\"%x\"", h.Sum64())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; there is nowhere else to report the error.
	_ = json.NewEncoder(w).Encode(v)
}
