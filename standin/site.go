package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/document"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/unit"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// SiteDocument describes a site of stand-ins as people write it.
type SiteDocument struct {
	// Listen is where the log, the list and the control of faults are served.
	Listen       string           `yaml:"listen"`
	LogRetention string           `yaml:"log-retention"`
	ListLag      string           `yaml:"list-lag"`
	Entries      []EntryDocument  `yaml:"entries"`
	Targets      []TargetDocument `yaml:"targets"`
}

// EntryDocument is an entry node on the platform's list.
type EntryDocument struct {
	VM      string `yaml:"vm"`
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
}

// TargetDocument describes like targets; they listen on consecutive ports.
type TargetDocument struct {
	Service       string   `yaml:"service"`
	Count         int      `yaml:"count"`
	Zones         []string `yaml:"zones"`
	Listen        string   `yaml:"listen"`
	Slots         int      `yaml:"slots"`
	QueueLength   int      `yaml:"queue"`
	ServiceTime   string   `yaml:"service-time"`
	ColdSlots     int      `yaml:"cold-slots"`
	ColdPeriod    string   `yaml:"cold-period"`
	ProbeTime     string   `yaml:"probe-time"`
	ResponseBytes int      `yaml:"answer-bytes"`
}

// Site serves stand-ins on loopback.
type Site struct {
	listen   string
	platform *Platform
	targets  []*Target
	wanted   []string
}

// ParseSite checks a description whole; the error is a fault.List.
func ParseSite(b []byte) (s *Site, err error) {
	doc := SiteDocument{Listen: "127.0.0.1:9000", LogRetention: "24h"}
	if err := document.Decode(b, &doc); err != nil {
		return nil, err
	}
	var r unit.Parser
	s = &Site{listen: doc.Listen, platform: &Platform{
		Log:  &Log{Retention: r.Duration("log-retention", doc.LogRetention, 0)},
		List: &List{Lag: r.Duration("list-lag", doc.ListLag, 0)},
	}}
	checkLoopback(&r, "listen", doc.Listen)
	for _, e := range doc.Entries {
		s.platform.List.Put(vm.VM{ID: vm.ID(e.VM), Role: vm.RoleEntry, Address: vm.Address(e.Address), Zone: zone.Name(e.Zone), State: vm.StateLive})
	}
	for i, t := range doc.Targets {
		s.addTargets(&r, fmt.Sprintf("targets[%d]", i), t)
	}
	return s, r.Faults.Err()
}

func checkLoopback(r *unit.Parser, field, address string) (host string, port int) {
	host, text, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		r.Faults.Add(field, "%q is not a loopback address such as \"127.0.0.1:9000\"", address)
		return host, 0
	}
	port, err = strconv.Atoi(text)
	if err != nil {
		r.Faults.Add(field, "%q has no port number", address)
	}
	return host, port
}

func (s *Site) addTargets(r *unit.Parser, path string, d TargetDocument) {
	host, port := checkLoopback(r, path+".listen", d.Listen)
	r.CheckInt(path+".count", d.Count, 1, 2000)
	if len(d.Zones) == 0 {
		r.Faults.Add(path+".zones", "is missing")
		return
	}
	settings := TargetSettings{
		Slots: d.Slots, QueueLength: d.QueueLength, ColdSlots: d.ColdSlots, ResponseBytes: d.ResponseBytes,
		ServiceTime: r.Duration(path+".service-time", d.ServiceTime, 0),
		ColdPeriod:  r.Duration(path+".cold-period", d.ColdPeriod, 0),
		ProbeTime:   r.Duration(path+".probe-time", d.ProbeTime, 0),
	}
	for i := range d.Count {
		settings.VM = vm.VM{
			ID: vm.ID(fmt.Sprintf("%s-%d", d.Service, i+1)), Role: vm.RoleTarget, Service: service.Name(d.Service),
			Zone: zone.Name(d.Zones[i%len(d.Zones)]), State: vm.StateLive,
		}
		s.targets = append(s.targets, NewTarget(settings))
		s.wanted = append(s.wanted, net.JoinHostPort(host, strconv.Itoa(port+i)))
	}
}

// Serve listens and serves until ctx ends.
func (s *Site) Serve(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "serve the stand-ins") }()
	for i, t := range s.targets {
		if err := t.Listen(s.wanted[i]); err != nil {
			return err
		}
		defer t.Close()
		s.platform.List.Put(t.VM())
	}
	mux := http.NewServeMux()
	mux.Handle("/", s.platform.Handler())
	mux.HandleFunc("POST /control", s.control)
	server := &http.Server{Addr: s.listen, Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	fmt.Fprintf(out, "serving the log, the list of VMs and %d targets at %s\n", len(s.targets), s.listen)
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// controlTimeout bounds one request of a fault.
const controlTimeout = 10 * time.Second
