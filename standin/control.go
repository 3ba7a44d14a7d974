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

	"github.com/apricotmount/apricotmount/replyconn"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// faultRequest is a request for a fault, in words such as "log down".
type faultRequest struct {
	Words []string `json:"words"`
}

// InjectFault requests a fault from the site served at url and returns the text of
// its response, which is empty except for the request "totals".
func InjectFault(ctx context.Context, url string, words []string) (text string, err error) {
	defer func() { err = eris.Wrap(err, "request a fault") }()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	b, err := json.Marshal(faultRequest{Words: words})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/control", strings.NewReader(string(b)))
	if err != nil {
		return "", err
	}
	resp, err := replyconn.Client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = eris.New(strings.TrimSpace(string(body)))
		body = nil
	}
	return string(body), err
}

func (s *Site) control(w http.ResponseWriter, r *http.Request) {
	var req faultRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, err := s.applyFault(req.Words)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	io.WriteString(w, text)
}

func (s *Site) applyFault(words []string) (text string, err error) {
	next := func() string {
		if len(words) == 0 {
			return ""
		}
		w := words[0]
		words = words[1:]
		return w
	}
	switch component := next(); component {
	case "log":
		return "", s.applyLogFault(next(), next())
	case "list":
		return "", s.applyListFault(next(), next())
	case "target":
		return "", s.applyTargetFault(vm.ID(next()), next(), next())
	case "totals":
		return s.formatTotals(), nil
	default:
		return "", eris.Errorf("%q is not one of log, list, target, totals", component)
	}
}

func (s *Site) applyLogFault(action, value string) error {
	switch action {
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
		return eris.Errorf("%q is not one of down, up, slow, lose-acks", action)
	}
	return nil
}

func (s *Site) applyListFault(action, value string) error {
	switch action {
	case "down", "up":
		s.platform.List.SetDown(action == "down")
	case "remove":
		s.platform.List.Remove(vm.ID(value))
	default:
		return eris.Errorf("%q is not one of down, up, remove", action)
	}
	return nil
}

func (s *Site) applyTargetFault(id vm.ID, action, value string) error {
	for _, t := range s.targets {
		if t.VM().ID == id {
			return changeTarget(t, action, value)
		}
	}
	return eris.Errorf("there is no target %q", id)
}

// changeTarget applies an action to a target. An action that is not a fault is the name
// of the state to set.
func changeTarget(t *Target, action, value string) error {
	switch action {
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
		state := target.ParseState(action)
		if state == target.Unverified {
			return eris.Errorf("%q is not one of live, cold, draining, leaving, restart, slow, fail, lie, hush, silent, mend", action)
		}
		t.SetState(state)
	}
	return nil
}

// formatTotals returns the counts of the targets, one line per target.
func (s *Site) formatTotals() string {
	var b strings.Builder
	for _, t := range s.targets {
		n := t.Totals()
		startedTwice := 0
		seen := map[string]int{}
		for _, c := range t.StartedCalls() {
			if seen[c.CallID]++; seen[c.CallID] == 2 && c.CallID != "" {
				startedTwice++
			}
		}
		fmt.Fprintf(&b, "%s zone=%s started=%d finished=%d refused=%d probes=%d cold-overruns=%d doubled=%d\n",
			t.VM().ID, t.VM().Zone, n.Started, n.Finished, n.Refused, n.Probes, n.ColdOverruns, startedTwice)
	}
	return b.String()
}
