package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// order is a fault as it is asked for: words such as "log down".
type order struct {
	Words []string `json:"words"`
}

// Ask asks a running site for a fault and returns what it says.
func InjectFault(ctx context.Context, at string, words []string) (text string, err error) {
	defer func() { err = eris.Wrap(err, "ask for a fault") }()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	b, err := json.Marshal(order{Words: words})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at+"/control", strings.NewReader(string(b)))
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = eris.New(strings.TrimSpace(string(answer)))
		answer = nil
	}
	return string(answer), err
}

func (s *Site) control(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, err := s.obey(o.Words)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	io.WriteString(w, text)
}

func (s *Site) obey(words []string) (text string, err error) {
	next := func() string {
		if len(words) == 0 {
			return ""
		}
		w := words[0]
		words = words[1:]
		return w
	}
	switch what := next(); what {
	case "log":
		return "", s.obeyLog(next(), next())
	case "list":
		return "", s.obeyList(next(), next())
	case "target":
		return "", s.obeyTarget(vm.ID(next()), next(), next())
	case "totals":
		return s.totals(), nil
	default:
		return "", eris.Errorf("%q is not one of log, list, target, totals", what)
	}
}

func (s *Site) obeyLog(what, value string) error {
	switch what {
	case "down":
		s.platform.Log.SetDown(true)
	case "up":
		s.platform.Log.SetDown(false)
		s.platform.Log.SetLatency(0)
	case "slow":
		d, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		s.platform.Log.SetLatency(d)
	case "lose-acks":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		s.platform.Log.LoseAcks(n)
	default:
		return eris.Errorf("%q is not one of down, up, slow, lose-acks", what)
	}
	return nil
}

func (s *Site) obeyList(what, value string) error {
	switch what {
	case "down", "up":
		s.platform.List.SetDown(what == "down")
	case "remove":
		s.platform.List.Remove(vm.ID(value))
	default:
		return eris.Errorf("%q is not one of down, up, remove", what)
	}
	return nil
}

func (s *Site) obeyTarget(id vm.ID, what, value string) error {
	for _, t := range s.targets {
		if t.VM().ID == id {
			return change(t, what, value)
		}
	}
	return eris.Errorf("there is no target %q", id)
}

func change(t *Target, what, value string) error {
	switch what {
	case "restart":
		t.Restart()
	case "fail":
		t.SetFailing(true)
	case "lie":
		t.SetReportsIdle(true)
	case "hush":
		t.StallConnections()
	case "silent":
		t.SetUnresponsive(true)
	case "mend":
		t.SetFailing(false)
		t.SetReportsIdle(false)
		t.SetUnresponsive(false)
		t.SetServiceTimeFactor(1)
	case "slow":
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		t.SetServiceTimeFactor(f)
	default:
		state := target.ParseState(what)
		if state == target.Unverified {
			return eris.Errorf("%q is not one of live, cold, draining, leaving, restart, slow, fail, lie, hush, silent, mend", what)
		}
		t.SetState(state)
	}
	return nil
}

// totals prints the targets' counts.
func (s *Site) totals() string {
	var b strings.Builder
	for _, t := range s.targets {
		n := t.Totals()
		doubled := 0
		seen := map[string]int{}
		for _, c := range t.StartedCalls() {
			if seen[c.CallID]++; seen[c.CallID] == 2 && c.CallID != "" {
				doubled++
			}
		}
		fmt.Fprintf(&b, "%s zone=%s started=%d finished=%d refused=%d probes=%d cold-overruns=%d doubled=%d\n",
			t.VM().ID, t.VM().Zone, n.Started, n.Finished, n.Refused, n.Probes, n.ColdOverruns, doubled)
	}
	return b.String()
}
