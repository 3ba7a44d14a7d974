package vm

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replyconn"
)

const (
	// listTimeout is the timeout of one request for the list.
	listTimeout = 2 * time.Second
	// maxListBytes is the maximum size of an encoded list.
	maxListBytes = 4 << 20
)

// Client reads the platform's list of VMs over HTTP from URL + "/vms". It is safe
// for concurrent use.
type Client struct {
	// URL is the base URL of the platform, such as "http://10.0.0.9:9000".
	URL string
	// HTTPClient sends the requests. Nil selects replyconn.Client.
	HTTPClient *http.Client
	// OnMalformed, if set, is called for each malformed entry with the beginning of its text and
	// of the cause, once while the entry stays the same.
	OnMalformed func(entry, cause string)

	mu       sync.Mutex
	etag     string
	lastList List
	// malformed holds the malformed entries of the last list.
	malformed map[string]bool
}

// List requests the list once and leaves out malformed entries. If the platform reports by entity tag that the list
// is unchanged, List returns the list of the previous response.
func (c *Client) List(ctx context.Context) (list List, err error) {
	defer func() { err = eris.Wrap(err, "read the list of VMs") }()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/vms", nil)
	if err != nil {
		return List{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return c.lastList, nil
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, eris.Errorf("status %d", resp.StatusCode)
	}
	body, err := replyconn.ReadBody(ctx, resp.Body, maxListBytes)
	if err != nil {
		return List{}, err
	}
	list, malformed, err := decodeList(body)
	if err != nil {
		return List{}, err
	}
	c.reportMalformed(malformed)
	c.etag, c.lastList = resp.Header.Get("ETag"), list
	return list, nil
}

// reportMalformed reports the malformed entries that the last list did not have. c.mu must be
// held.
func (c *Client) reportMalformed(entries []malformedEntry) {
	reported := map[string]bool{}
	for _, e := range entries {
		if !c.malformed[e.text] && !reported[e.text] && c.OnMalformed != nil {
			c.OnMalformed(e.text, e.cause)
		}
		reported[e.text] = true
	}
	c.malformed = reported
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return replyconn.Client
	}
	return c.HTTPClient
}
