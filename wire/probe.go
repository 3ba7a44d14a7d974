package wire

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/target"
)

// errForeignResponse is returned if the response to a probe is that to a call, which the
// target has sent a second time.
var errForeignResponse = eris.New("the response belongs to a call")

// sendProbe sends a probe over a connection and returns the load report.
func (p *Pool) sendProbe(ctx context.Context, c *Conn) (report target.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + string(p.Ref.Address) + p.settings.Protocol.LoadPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return target.Report{}, err
	}
	resp, _, err := c.Send(req, nil)
	if err != nil {
		return target.Report{}, err
	}
	defer resp.Body.Close()
	if p.settings.Protocol.answersCall(resp) {
		return target.Report{}, errForeignResponse
	}
	if err := drain(resp.Body); err != nil {
		return target.Report{}, err
	}
	report = p.settings.Protocol.ParseReport(resp)
	report.IsUnhealthy = resp.StatusCode >= http.StatusInternalServerError
	return report, nil
}

// QueryLoad sends a load query over the most recently released idle connection. If
// that fails, or takes longer than silentTimeout on a connection on which nothing
// was received within recentReadAge, a new connection is tried, because the first
// may have become permanently unresponsive.
func (p *Pool) QueryLoad(ctx context.Context, silentTimeout time.Duration) (report target.Report, err error) {
	if c := p.takeIdle(false, nil); c != nil {
		probeCtx, cancel := context.WithTimeout(ctx, p.queryTimeout(c, silentTimeout))
		defer cancel()
		report, err = p.sendProbe(probeCtx, c)
		p.put(c, err == nil)
		if err == nil || ctx.Err() != nil {
			return report, err
		}
	}
	c, report, err := p.open(ctx)
	if err != nil {
		return target.Report{}, err
	}
	p.put(c, true)
	return report, nil
}

// recentReadAge is the maximum time since data was last received on a connection
// for a load query on it to be given the full probeTimeout.
const recentReadAge = time.Second

// queryTimeout returns the timeout of a load query over c: probeTimeout if data was
// received on c within recentReadAge, silentTimeout otherwise.
func (p *Pool) queryTimeout(c *Conn, silentTimeout time.Duration) time.Duration {
	if c.receivedSince(time.Now().Add(-recentReadAge)) {
		return probeTimeout
	}
	return silentTimeout
}

// Probe sends a probe within the probe budget, over an idle connection or a new
// one, and returns the load report.
func (p *Pool) Probe(ctx context.Context) (report target.Report, err error) {
	c := p.takeIdle(false, nil)
	if c == nil {
		// Opening a connection includes a probe, which returns the report.
		c, report, err = p.open(ctx)
		if err != nil {
			return target.Report{}, err
		}
		p.put(c, true)
		return report, nil
	}
	if !p.budget.Spend(time.Now(), p.cost()) {
		p.put(c, true)
		return target.Report{}, ErrProbeBudget
	}
	report, err = p.sendProbe(ctx, c)
	p.put(c, err == nil)
	return report, err
}
